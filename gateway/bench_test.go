package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// BenchmarkPlainRequest carries one request after the other to a runner and back,
// the runner's own work included.
func BenchmarkPlainRequest(b *testing.B) {
	r := newRig(b, always(standin.Behaviour{Body: "answer"}))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		request := r.request(context.Background(), "/once/a")
		request.RequestURI = request.URL.RequestURI()
		recorder := httptest.NewRecorder()
		r.gateway.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code)
		}
	}
}
