package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// drip sends bytes one by one, until the connection is closed. It returns a channel that is closed
// then.
func drip(conn net.Conn) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return ended
}

// begin sends the head of a request on a new connection.
func (r *rig) begin(path, lines string) net.Conn {
	conn := r.dial()
	_, err := io.WriteString(conn, head(path, lines))
	r.c.Assert(err, qt.IsNil)
	return conn
}

// TestSlowCallersFailNoSoundRequest guards against callers that drip a body, never end one or never read
// their answers, and make the requests of others fail.
func TestSlowCallersFailNoSoundRequest(t *testing.T) {
	// The smallest VM has 184 MB, of which an idle process needs less than 30.
	const allowed = 150 << 20
	large, small := strings.Repeat("x", 8<<20-1), strings.Repeat("y", 64<<10)
	r := newRig(t, func(request standin.ReceivedRequest) standin.Behaviour {
		if request.Target == "/once/large" {
			return standin.Behaviour{Body: large}
		}
		return standin.Behaviour{Body: small}
	})
	r.boundBodies()
	r.setBudget(16 << 20)
	before := heapBytes()
	held := peakHeapBytes(func() {
		var drips []<-chan struct{}
		for range 2 {
			drips = append(drips, drip(r.begin("/once/drip", fmt.Sprintf("Content-Length: %d\r\n", longBodyBytes))))
			r.begin("/once/large", "Content-Length: 0\r\n")
			r.begin("/once/endless", "Transfer-Encoding: chunked\r\n")
		}
		r.awaitBodyBytes(2 * longBodyBytes)
		time.Sleep(time.Second)
		for range 20 {
			got := r.send("/once/sound", withBody(longBodyBytes))
			r.c.Check(got.status, qt.Equals, http.StatusOK)
			r.c.Check(got.body == small, qt.IsTrue)
		}
		for _, ended := range drips {
			<-ended
		}
	}) - before
	r.c.Check(held < allowed, qt.IsTrue, qt.Commentf("%d MiB are held", held>>20))
	r.awaitBodyBytes(0)
}

// TestCallersThatSendNothingAreCut guards against bodies that are held without end, since nothing bounds
// the time of a body.
func TestCallersThatSendNothingAreCut(t *testing.T) {
	r := newBodiesRig(t)
	var conns []net.Conn
	for _, lines := range []string{"Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n"} {
		conns = append(conns, r.begin("/once/a", lines))
	}
	ended := drip(r.begin("/once/a", fmt.Sprintf("Content-Length: %d\r\n", longBodyBytes)))
	for _, conn := range conns {
		r.c.Assert(conn.SetReadDeadline(time.Now().Add(15*time.Second)), qt.IsNil)
		answer, err := io.ReadAll(conn)
		r.c.Assert(err, qt.IsNil)
		r.c.Check(string(answer), qt.Matches, `(?s)HTTP/1.1 408 .*Connection: close.*`)
	}
	<-ended
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{0})
	r.awaitBodyBytes(0)
}
