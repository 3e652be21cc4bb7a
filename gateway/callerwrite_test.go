package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// failingWriter accepts no body.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { return 0, http.ErrBodyNotAllowed }

// TestFailedWriteToCallerIsNoFaultOfTheRunner guards against a stream that is sent to
// another runner, and a runner that is avoided, because events can't be written to the
// caller.
func TestFailedWriteToCallerIsNoFaultOfTheRunner(t *testing.T) {
	stream := always(standin.Behaviour{Events: 3})
	r := newRig(t, stream, stream)
	recorder := httptest.NewRecorder()
	request := r.request(context.Background(), "/resumable/a")
	request.RequestURI = request.URL.RequestURI()
	r.c.Check(func() { r.gateway.ServeHTTP(failingWriter{recorder}, request) }, qt.PanicMatches, http.ErrAbortHandler.Error())
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 0})
	r.c.Check(r.contents.Report(true, time.Now()).Crashes, qt.HasLen, 0)
	metrics := httptest.NewRecorder()
	r.gateway.Meters.Handler().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{`Reason="CallerNotWritable"`, `cranberrywalk_attempts_total{Result="Cancelled",Runner="i-a"} 1`} {
		r.c.Check(strings.Contains(metrics.Body.String(), line), qt.IsTrue, qt.Commentf("%s", line))
	}
}
