package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// BenchmarkPlainRequest sends requests one after the other through the gateway. It
// includes the work of the test runner.
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
