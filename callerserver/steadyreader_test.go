package callerserver_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

// TestUnacknowledgedBytesShowASteadyReader guards against a caller that looks as if it did not read: a
// write goes on only once a third of the kernel's buffer is free.
func TestUnacknowledgedBytesShowASteadyReader(t *testing.T) {
	const looks, lookTime = 4, 500 * time.Millisecond
	const readBytes, readPause = 64 << 10, 50 * time.Millisecond
	left := make(chan int, looks)
	r := newRig(t, callerserver.Timeouts{}, func(w http.ResponseWriter, request *http.Request) {
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = w.Write(make([]byte, 32<<20))
		}()
		for range looks {
			time.Sleep(lookTime)
			count, isKnown := callerserver.UnacknowledgedBytes(request.Context())
			if !isKnown {
				count = 0
			}
			left <- count
		}
		close(left)
		<-written
	})
	r.write(get)
	go func() {
		for {
			if _, err := io.CopyN(io.Discard, r.conn, readBytes); err != nil {
				return
			}
			time.Sleep(readPause)
		}
	}()
	last := <-left
	r.c.Assert(last > 0, qt.IsTrue)
	for count := range left {
		r.c.Check(count < last-readBytes || count > last, qt.IsTrue, qt.Commentf("%d bytes after %d", count, last))
		last = count
	}
	r.c.Assert(r.conn.Close(), qt.IsNil)
}
