package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

const (
	// bodyLimitBytes bounds the bodies of one customer while there are no others.
	bodyLimitBytes = 1 << 20
	// longBodyBytes is the length of a body that fits alone, but not twice.
	longBodyBytes = 450 << 10
	bodyHold      = 600 * time.Millisecond
)

// newBodiesRig returns a rig with a bound on bodies. Its runner works for bodyHold on
// requests whose target ends with "held".
func newBodiesRig(t *testing.T) *rig {
	r := newRig(t, func(request standin.ReceivedRequest) standin.Behaviour {
		if strings.HasSuffix(request.Target, "held") {
			return standin.Behaviour{Body: "answer", Gap: bodyHold}
		}
		return standin.Behaviour{Body: "answer"}
	})
	r.boundBodies()
	return r
}

// boundBodies sets the bound on bodies.
func (r *rig) boundBodies() {
	r.gateway.Bodies = buffer.NewBodies(buffer.BodyOptions{LimitBytes: 2 * bodyLimitBytes, FreeBytes: 16 << 10})
}

// head returns the head of a request with further header lines.
func head(path, lines string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: raw\r\n%s: %s\r\n%s: 5000\r\n%s\r\n",
		path, testHost, standin.HeaderCallID, standin.HeaderAPIKey, testKey, standin.HeaderDeadline, lines)
}

// dial opens a caller's connection, on which an answer has to come within five seconds.
func (r *rig) dial() net.Conn {
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(func() { _ = conn.Close() })
	r.c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	return conn
}

// checkRefusedForRoom checks that the answer on a connection says that the request has not run and
// when to come back.
func (r *rig) checkRefusedForRoom(conn net.Conn) {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.c.Assert(err, qt.IsNil)
	defer answer.Body.Close()
	r.c.Check(answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	r.c.Check(answer.Header.Get("Retry-After"), qt.Equals, "0.500")
	r.c.Check(answer.Close, qt.IsTrue)
}

// holdBodies sends requests with long bodies until they hold as much as fits, and returns a function
// that waits for their end.
func (r *rig) holdBodies() func() {
	ended := make(chan int, 2)
	for range cap(ended) {
		go func() { ended <- r.send("/once/held", withBody(longBodyBytes)).status }()
	}
	r.awaitBodyBytes(2 * longBodyBytes)
	return func() {
		for range cap(ended) {
			r.c.Check(<-ended, qt.Equals, http.StatusOK)
		}
	}
}

func (r *rig) awaitBodyBytes(want int) {
	for began := time.Now(); r.gateway.Bodies.HeldBytes() != want; time.Sleep(time.Millisecond) {
		r.c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("%d bytes are held", r.gateway.Bodies.HeldBytes()))
	}
}

// withBody sets the body of a request.
func withBody(bytes int) change {
	return func(request *http.Request) {
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", bytes)))
		request.ContentLength = int64(bytes)
	}
}

// TestBodyThatDoesNotFitIsRefusedUnread guards against a process that runs out of memory, and thus
// loses all its requests, since it takes every body.
func TestBodyThatDoesNotFitIsRefusedUnread(t *testing.T) {
	r := newBodiesRig(t)
	awaitEnd := r.holdBodies()
	conn := r.dial()
	_, err := io.WriteString(conn, head("/once/refused", fmt.Sprintf("Content-Length: %d\r\n", longBodyBytes)))
	r.c.Assert(err, qt.IsNil)
	r.checkRefusedForRoom(conn)
	r.c.Check(r.send("/once/short").status, qt.Equals, http.StatusOK)
	awaitEnd()
	r.awaitBodyBytes(0)
	r.c.Check(r.send("/once/later", withBody(longBodyBytes)).status, qt.Equals, http.StatusOK)
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{4})
	r.awaitBodyBytes(0)
	var lines []string
	for _, line := range r.log.linesOf("RequestEnded") {
		if strings.Contains(line, `"Reason"="NoRoomForBody"`) {
			lines = append(lines, line)
		}
	}
	r.c.Assert(lines, qt.HasLen, 1)
	r.c.Check(lines[0], qt.Contains, `a body of 460800 bytes does not fit: \"library\" holds 921600 bytes and may hold 1048576, all bodies hold 921600, limit 2097152`)
}

// TestCustomerLeavesRoomForBodiesOfOthers guards against a customer that sends many times its usual and
// makes the requests of all others fail.
func TestCustomerLeavesRoomForBodiesOfOthers(t *testing.T) {
	r := newBodiesRig(t)
	changed := spec()
	changed.Version = 2
	changed.Customers = append(changed.Customers, catalog.Customer{Name: "school", Keys: []string{"key-of-school"}})
	r.set(changed)
	defer r.holdBodies()()
	r.c.Check(r.send("/once/a", withBody(longBodyBytes)).status, qt.Equals, http.StatusServiceUnavailable)
	got := r.send("/once/b", withBody(longBodyBytes), with(standin.HeaderAPIKey, "key-of-school"))
	r.c.Check(got.status, qt.Equals, http.StatusOK)
}

// TestRefusedCallerThatSendsItsWholeBodyGetsTheAnswer guards against a refusal that its caller does
// not see, since its connection is reset while it sends the rest of the body.
func TestRefusedCallerThatSendsItsWholeBodyGetsTheAnswer(t *testing.T) {
	r := newBodiesRig(t)
	defer r.holdBodies()()
	conn := r.dial()
	const bytes = bodyLimitBytes
	_, err := io.WriteString(conn, head("/once/refused", fmt.Sprintf("Content-Length: %d\r\n", bytes))+strings.Repeat("x", bytes))
	r.c.Assert(err, qt.IsNil)
	r.checkRefusedForRoom(conn)
}

// TestBodyInChunksIsRefusedWhereItDoesNotFit guards against bodies that are not bounded since they
// announce no length.
func TestBodyInChunksIsRefusedWhereItDoesNotFit(t *testing.T) {
	r := newBodiesRig(t)
	defer r.holdBodies()()
	conn := r.dial()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	_, err := io.WriteString(conn, head("/once/refused", "Transfer-Encoding: chunked\r\n")+strings.Repeat(chunk, 16))
	r.c.Assert(err, qt.IsNil)
	r.checkRefusedForRoom(conn)
	r.awaitBodyBytes(2 * longBodyBytes)
}

// TestBodyThatNeverFitsIsNotPutOff guards against callers that send again and again what no daemon
// takes.
func TestBodyThatNeverFitsIsNotPutOff(t *testing.T) {
	r := newBodiesRig(t)
	got := r.send("/once/a", withBody(bodyLimitBytes+1))
	r.c.Check(got.status, qt.Equals, http.StatusRequestEntityTooLarge)
	r.c.Check(got.header.Get("Retry-After"), qt.Equals, "")
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{0})
}

// TestBodyInChunksIsSentWhole guards against bodies without a length that lose bytes as their buffer
// grows.
func TestBodyInChunksIsSentWhole(t *testing.T) {
	r := newBodiesRig(t)
	for _, bytes := range []int{0, 1, 4 << 10, 4<<10 + 1, 100_000} {
		got := r.send("/once/a", withBody(bytes), func(request *http.Request) { request.ContentLength = -1 })
		r.c.Check(got.status, qt.Equals, http.StatusOK)
		received := r.runners[0].ReceivedRequests()
		r.c.Check(len(received[len(received)-1].Body), qt.Equals, bytes)
	}
	r.awaitBodyBytes(0)
}
