package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

const (
	// uploadBytes is the size of a request body that the buffers of the kernel do not hold. It is
	// twice the largest buffer for sending.
	uploadBytes = 8 << 20
	// uploadTries is how often a test tries to let the writer of a request learn of a reset before
	// the reader of the answer. variantTries is that for variants of the answer.
	uploadTries, variantTries = 100, 20
	// uploadPause is the time in which the writer fills the buffers, and the reader waits for more.
	uploadPause = 4 * time.Millisecond
)

// unframedHead begins an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// earlyRig is a pool and a runner that answers before it has read the body of a request.
type earlyRig struct {
	c       *qt.C
	pool    *upstream.Pool
	address string
}

// newEarlyRig returns a rig whose runner reads the head of each request and then calls respond,
// whose reader has some bytes of the body.
func newEarlyRig(t *testing.T, common telemetry.Common, respond func(conn *net.TCPConn, reader io.Reader)) *earlyRig {
	r := &earlyRig{c: qt.New(t), pool: upstream.New(common, upstream.DefaultOptions())}
	r.c.Cleanup(r.pool.CloseAllIdle)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(func() { _ = listener.Close() })
	r.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEarly(conn.(*net.TCPConn), respond)
		}
	}()
	return r
}

func serveEarly(conn *net.TCPConn, respond func(conn *net.TCPConn, reader io.Reader)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	respond(conn, request.Body)
}

// begin sends a long request and returns its answer.
func (r *earlyRig) begin() (*upstream.Answer, error) {
	request := upstream.Request{Address: r.address, Host: "runner", Method: http.MethodPost, Target: "/", Body: make([]byte, uploadBytes), NewConnection: true}
	return r.pool.Send(context.Background(), request)
}

// upload sends a long request and reads its answer by read.
func (r *earlyRig) upload(read func(*upstream.Answer) ([]byte, error)) (string, error) {
	answer, err := r.begin()
	if err != nil {
		return "", err
	}
	body, err := read(answer)
	answer.Close(err == nil)
	answer.Release()
	return string(body), err
}

// readers are the ways to read an answer.
var readers = map[string]func(*upstream.Answer) ([]byte, error){
	"whole":    (*upstream.Answer).ReadAll,
	"streamed": func(answer *upstream.Answer) ([]byte, error) { return io.ReadAll(answer) },
}

// resetLater resets a connection after its peer has filled the buffers.
func resetLater(conn *net.TCPConn) {
	time.Sleep(uploadPause)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Guards against a part of an answer without a length that passes for a whole one: its runner
// resets the connection while the request is still being written, and the write gets the error
// that the read should have got.
func TestResetDuringUploadIsNotTheEndOfAnAnswer(t *testing.T) {
	for name, respond := range map[string]func(conn *net.TCPConn, _ io.Reader){
		"success": func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, unframedHead+"a part")
			resetLater(conn)
		},
		"error": func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 500 Error\r\n\r\na part")
			resetLater(conn)
		},
		"error without a body": func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 500 Error\r\n\r\n")
			resetLater(conn)
		},
		"old protocol": func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\na part")
			resetLater(conn)
		},
		"after a half-close": func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, unframedHead+"a part")
			_ = conn.CloseWrite()
			resetLater(conn)
		},
		"close with unread bytes": func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, unframedHead+"a part")
			time.Sleep(uploadPause)
			_ = conn.Close()
		},
	} {
		for way, read := range readers {
			t.Run(name+"/"+way, func(t *testing.T) {
				r := newEarlyRig(t, telemetry.NewCommon(), respond)
				taken, tries := 0, variantTries
				if name == "success" {
					tries = uploadTries
				}
				for range tries {
					_, err := r.upload(read)
					if err == nil {
						taken++
						continue
					}
					// The failure must count as a crash of the runner.
					r.c.Check(upstream.IsClosedByPeer(err), qt.IsTrue, qt.Commentf("%v", err))
				}
				r.c.Check(taken, qt.Equals, 0, qt.Commentf("of %d parts were taken for whole answers", tries))
			})
		}
	}
}

// Guards against sound answers that count as broken off: their runners end them without a length,
// and go on to read the request.
func TestHalfCloseBeforeTheUploadIsReadIsSound(t *testing.T) {
	for way, read := range readers {
		t.Run(way, func(t *testing.T) {
			r := newEarlyRig(t, telemetry.NewCommon(), func(conn *net.TCPConn, reader io.Reader) {
				_, _ = io.WriteString(conn, unframedHead+"the answer")
				_ = conn.CloseWrite()
				time.Sleep(uploadPause)
				_, _ = io.Copy(io.Discard, reader)
			})
			for range variantTries {
				body, err := r.upload(read)
				r.c.Assert(err, qt.IsNil)
				r.c.Check(body, qt.Equals, "the answer")
			}
		})
	}
}

// Guards against a request that is still being written and thereby makes a framed answer invalid.
func TestFramedAnswerDuringUploadIsWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"length": okAnswer,
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		for way, read := range readers {
			t.Run(name+"/"+way, func(t *testing.T) {
				r := newEarlyRig(t, telemetry.NewCommon(), func(conn *net.TCPConn, _ io.Reader) {
					_, _ = io.WriteString(conn, answer)
					// The end of the connection is that by the pool.
					time.Sleep(uploadPause)
					_, _ = io.Copy(io.Discard, conn)
				})
				for range variantTries {
					body, err := r.upload(read)
					r.c.Assert(err, qt.IsNil)
					r.c.Check(body, qt.Equals, "ok")
				}
			})
		}
	}
}

// Guards against an exchange that waits without end for a runner that has ended its answer and
// reads no more of the request.
func TestUnreadUploadEndsTheExchange(t *testing.T) {
	common := telemetry.NewCommon()
	fake := clock.NewFake(time.Unix(0, 0))
	common.Clock = fake
	ended := make(chan struct{})
	r := newEarlyRig(t, common, func(conn *net.TCPConn, _ io.Reader) {
		_, _ = io.WriteString(conn, unframedHead+"the answer")
		_ = conn.CloseWrite()
		<-ended
	})
	defer close(ended)
	result := make(chan error)
	go func() {
		_, err := r.upload((*upstream.Answer).ReadAll)
		result <- err
	}()
	for {
		fake.Advance(100 * time.Millisecond)
		select {
		case err := <-result:
			var invalid *upstream.InvalidAnswerError
			r.c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			var late *upstream.WriteTimeoutError
			r.c.Check(errors.As(err, &late), qt.IsTrue, qt.Commentf("%v", err))
			return
		case <-time.After(time.Millisecond):
			// The answer has not ended, or the time of the write is not over.
		}
	}
}
