package callerserver_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

const (
	oldGet = "GET / HTTP/1.0\r\nHost: library\r\n\r\n"
	// oldKeptGet is a request whose caller keeps the connection if it can.
	oldKeptGet = "GET / HTTP/1.0\r\nHost: library\r\nConnection: keep-alive\r\n\r\n"
	// part is the first part of an answer.
	part = "data: first\n\n"
)

// writePart sends a first part of an answer.
func writePart(w http.ResponseWriter) {
	_, _ = io.WriteString(w, part)
	_ = http.NewResponseController(w).Flush()
}

// readToEnd returns what arrives until the connection ends, and the error of its end, which
// is nil if the connection was closed without a reset.
func (r *rig) readToEnd() (string, error) {
	r.c.Assert(r.conn.SetReadDeadline(time.Now().Add(closeTimeout)), qt.IsNil)
	content, err := io.ReadAll(r.reader)
	return string(content), err
}

// TestBrokenAnswerIsNoWholeAnswerForOldCallers guards against a part of an answer that a caller
// of HTTP/1.0, which goes by the end of the connection, takes for the whole one.
func TestBrokenAnswerIsNoWholeAnswerForOldCallers(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"aborted": func(w http.ResponseWriter, _ *http.Request) {
			writePart(w)
			panic(http.ErrAbortHandler)
		},
		"aborted after its head": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"aborted in a later part": func(w http.ResponseWriter, _ *http.Request) {
			writePart(w)
			_, _ = w.Write(bytes.Repeat([]byte("x"), 5<<10))
			panic(http.ErrAbortHandler)
		},
		"without chunks in HTTP/1.1": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			writePart(w)
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, sent := range []string{oldGet, oldKeptGet, get} {
				if strings.Contains(sent, "HTTP/1.1") && !strings.Contains(name, "HTTP/1.1") {
					continue
				}
				r := newRig(t, callerserver.Timeouts{}, handler)
				r.write(sent)
				_, err := r.readToEnd()
				r.c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
			}
		})
	}
}

// TestOldCallerSeesThatGraceIsOver guards against the part of an answer that is cut at the end
// of the time for a stop, or by the closing of the server, and looks whole.
func TestOldCallerSeesThatGraceIsOver(t *testing.T) {
	for name, end := range map[string]func(*stopRig){
		"end of the time for a stop": func(r *stopRig) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = r.awaitDrained(r.drain(ctx))
			_ = r.server.Close()
		},
		"close": func(r *stopRig) { _ = r.server.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			r := newStopRig(t, func(w http.ResponseWriter, _ *http.Request) {
				writePart(w)
				<-release
			})
			_, err := io.WriteString(r.conn, oldGet)
			r.c.Assert(err, qt.IsNil)
			_, err = r.reader.Peek(1)
			r.c.Assert(err, qt.IsNil)
			end(r)
			_, err = io.ReadAll(r.reader)
			r.c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
		})
	}
}

// TestClosedServerEndsNoAnswerBeforeItsLastPart guards against a closing of the server that
// lets an answer look whole whose handler has returned and whose last part is not written.
func TestClosedServerEndsNoAnswerBeforeItsLastPart(t *testing.T) {
	last := newGate()
	r := newStopRig(t, func(w http.ResponseWriter, _ *http.Request) {
		writePart(w)
		_, _ = io.WriteString(w, "data: last\n\n")
	})
	r.accepted.beforeWrite.hold(2, last)
	_, err := io.WriteString(r.conn, oldGet)
	r.c.Assert(err, qt.IsNil)
	<-last.reached
	r.c.Assert(r.server.Close(), qt.IsNil)
	close(last.open)
	content, err := io.ReadAll(r.reader)
	r.c.Check(err, qt.ErrorIs, syscall.ECONNRESET, qt.Commentf("%q", content))
}

// TestWholeAnswerReachesSlowOldCaller guards against a reset that discards the end of a whole
// answer which its caller has not read yet.
func TestWholeAnswerReachesSlowOldCaller(t *testing.T) {
	const size = 4 << 20
	for _, sent := range []string{oldGet, oldKeptGet} {
		r := newRig(t, callerserver.Timeouts{}, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte("x"), size))
		})
		r.write(sent)
		time.Sleep(4 * short)
		content, err := r.readToEnd()
		r.c.Check(err, qt.IsNil)
		_, body, _ := strings.Cut(content, "\r\n\r\n")
		r.c.Check(body, qt.HasLen, size)
	}
}

// TestOldCallerKeepsItsConnection guards against a connection that stays set to be reset once
// an answer with a length was sent on it.
func TestOldCallerKeepsItsConnection(t *testing.T) {
	r := newRig(t, callerserver.Timeouts{Idle: short, Header: long}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, part)
	})
	for range 3 {
		r.write(oldKeptGet)
		r.readAnswer()
	}
	r.waitForClose()
}

// TestHeadOnlyAnswersEndWithoutReset guards against a reset of answers that have no body.
func TestHeadOnlyAnswersEndWithoutReset(t *testing.T) {
	for _, scenario := range []struct {
		method string
		status int
	}{
		{http.MethodHead, http.StatusOK}, {http.MethodGet, http.StatusNoContent}, {http.MethodGet, http.StatusNotModified},
	} {
		r := newRig(t, callerserver.Timeouts{}, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(scenario.status)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		r.write(scenario.method + " / HTTP/1.0\r\n\r\n")
		content, err := r.readToEnd()
		r.c.Check(err, qt.IsNil)
		r.c.Check(content, qt.Contains, strconv.Itoa(scenario.status))
	}
}

// TestBrokenChunkedAnswerHasNoEnd guards against an end of chunks, or another answer, after an
// answer of HTTP/1.1 that broke off.
func TestBrokenChunkedAnswerHasNoEnd(t *testing.T) {
	for _, header := range []string{"", "Connection: close\r\n"} {
		r := newRig(t, callerserver.Timeouts{}, func(w http.ResponseWriter, _ *http.Request) {
			writePart(w)
			panic(http.ErrAbortHandler)
		})
		r.write("GET / HTTP/1.1\r\nHost: library\r\n" + header + "\r\n" + get)
		answer, err := http.ReadResponse(r.reader, nil)
		r.c.Assert(err, qt.IsNil)
		defer answer.Body.Close()
		content, err := io.ReadAll(answer.Body)
		r.c.Check(err, qt.IsNotNil)
		r.c.Check(string(content), qt.Equals, part)
	}
}

// TestShortBodyIsNotFollowedByNextAnswer guards against a connection that is used again after
// a body which is shorter than its length: the next answer would complete it.
func TestShortBodyIsNotFollowedByNextAnswer(t *testing.T) {
	for _, sent := range []string{oldKeptGet, get} {
		r := newRig(t, callerserver.Timeouts{}, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(len(part)+1))
			writePart(w)
		})
		r.write(sent + sent)
		answer, err := http.ReadResponse(r.reader, nil)
		r.c.Assert(err, qt.IsNil)
		defer answer.Body.Close()
		content, err := io.ReadAll(answer.Body)
		r.c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF)
		r.c.Check(string(content), qt.Equals, part)
	}
}

// TestPipelinedRequestDoesNotCutOldAnswer guards against an answer of HTTP/1.0 that is cut, or
// followed by another one, since its caller has sent a second request behind the first.
func TestPipelinedRequestDoesNotCutOldAnswer(t *testing.T) {
	const size = 1 << 20
	for _, second := range []string{oldGet, get} {
		r := newRig(t, callerserver.Timeouts{}, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte("x"), size))
		})
		r.write(oldGet + second)
		content, err := r.readToEnd()
		r.c.Check(err, qt.IsNil)
		_, body, _ := strings.Cut(content, "\r\n\r\n")
		r.c.Check(body, qt.HasLen, size)
	}
}
