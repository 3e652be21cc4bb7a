package callerserver_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

// TestSteadyReaderIsSeenToProgress guards against a caller that loses its connection although it reads
// fast enough, since the kernel lets a write wait until a third of its buffer is free.
func TestSteadyReaderIsSeenToProgress(t *testing.T) {
	const step, steps = 64 << 10, 100
	const readBytes, readPause = 16 << 10, 50 * time.Millisecond
	var longest atomic.Int64
	ended := make(chan struct{})
	r := newRig(t, callerserver.Timeouts{}, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for range steps {
			began := time.Now()
			if _, err := w.Write(make([]byte, step)); err != nil {
				return
			}
			longest.Store(max(longest.Load(), int64(time.Since(began))))
		}
	})
	r.write(get)
	for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(readPause) {
		_, err := io.CopyN(io.Discard, r.conn, readBytes)
		r.c.Assert(err, qt.IsNil)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.conn, step*steps/2))
	r.c.Assert(r.conn.Close(), qt.IsNil)
	<-ended
	r.c.Check(longest.Load() < int64(time.Second), qt.IsTrue, qt.Commentf("a step took %v", time.Duration(longest.Load())))
}
