package upstream_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// Guards against a part that passes for a whole answer since an answer to another request was
// skipped before it.
func TestResetDuringUploadAfterSkippedAnswerIsNotTheEnd(t *testing.T) {
	r := newEarlyRig(t, telemetry.NewCommon(), func(conn *net.TCPConn, _ io.Reader) {
		_, _ = io.WriteString(conn, okAnswer+unframedHead+"a part")
		resetLater(conn)
	})
	taken := 0
	for range variantTries {
		_, err := r.upload(func(answer *upstream.Answer) ([]byte, error) {
			if err := answer.Next(); err != nil {
				return nil, err
			}
			return answer.ReadAll()
		})
		if err == nil {
			taken++
			continue
		}
		r.c.Check(upstream.IsClosedByPeer(err), qt.IsTrue, qt.Commentf("%v", err))
	}
	r.c.Check(taken, qt.Equals, 0, qt.Commentf("of %d parts were taken for whole answers", variantTries))
}

// Guards against a discarded answer without a length that holds its caller until the request is
// written, or whose connection is used again.
func TestDiscardDuringUploadDoesNotWait(t *testing.T) {
	ended := make(chan struct{})
	r := newEarlyRig(t, telemetry.NewCommon(), func(conn *net.TCPConn, _ io.Reader) {
		_, _ = io.WriteString(conn, unframedHead+"the answer")
		_ = conn.CloseWrite()
		<-ended
	})
	defer close(ended)
	began := time.Now()
	answer, err := r.begin()
	r.c.Assert(err, qt.IsNil)
	answer.Discard()
	r.c.Check(time.Since(began) < time.Second, qt.IsTrue)
	r.c.Check(r.pool.CloseIdleTo(r.address), qt.Equals, 0)
}
