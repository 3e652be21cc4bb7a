package gateway_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// BenchmarkLargeBody sends requests with bodies of 4 MiB one after the other through the gateway.
// It includes the work of the test runner.
func BenchmarkLargeBody(b *testing.B) {
	r := newRig(b, always(standin.Behaviour{Body: "answer"}))
	content := bytes.Repeat([]byte("x"), 4<<20)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		request := r.request(context.Background(), "/once/a", func(request *http.Request) {
			request.Body, request.ContentLength = http.NoBody, int64(len(content))
		})
		request.RequestURI = request.URL.RequestURI()
		request.Body = readCloser{bytes.NewReader(content)}
		recorder := httptest.NewRecorder()
		r.gateway.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code)
		}
	}
}

// readCloser is a body that shows no more of its reader than a connection does.
type readCloser struct{ reader *bytes.Reader }

// Read implements io.Reader.
func (r readCloser) Read(content []byte) (int, error) { return r.reader.Read(content) }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }
