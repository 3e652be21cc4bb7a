package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// attemptsInDeadline is how many attempts of an idempotent call have time
// before its deadline when all of them go silent.
const attemptsInDeadline = 3

// Answer is an exchange whose answer has begun.
type Answer struct {
	link     *Link
	call     Call
	ctx      context.Context
	cancel   context.CancelCauseFunc
	gate     *gate
	response *http.Response
	// reused is true when the connection had served an earlier call.
	reused atomic.Bool
	// reader is set by the first call of Next.
	reader  *bufio.Reader
	silence *silence
	// bytes counts what was read of the body.
	bytes int
}

func (l *Link) newAnswer(ctx context.Context, call Call) *Answer {
	a := &Answer{link: l, call: call}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.silence = newSilence(l.Clock, l.boundOf(call), a.onSilence)
	a.gate = &gate{single: !call.Idempotent, onRead: a.silence.heard}
	return a
}

// boundOf returns the bound on silence. An idempotent call that has gone silent
// leaves the larger part of its time to the next attempt.
func (l *Link) boundOf(call Call) time.Duration {
	if call.Stream {
		return l.options.StreamSilence
	}
	if !call.Idempotent || call.Deadline.IsZero() {
		return l.options.WholeSilence
	}
	share := call.Deadline.Sub(l.Clock.Now()) / attemptsInDeadline
	return min(max(share, l.options.LeastSilence), l.options.WholeSilence)
}

// onSilence ends the exchange.
func (a *Answer) onSilence() {
	a.cancel(&SilentError{})
	a.gate.abort()
}

// fail ends the exchange, closes its connection and returns the fault.
func (a *Answer) fail(kind FaultKind, cause error) error {
	a.silence.pause()
	written := a.gate.abort()
	var silent *SilentError
	switch ended := context.Cause(a.ctx); {
	case errors.As(ended, &silent):
		kind, cause = Silent, ended
		abandoned := a.link.pool.abandonIdle(a.call.Address)
		a.link.Count("BackendConnectionsAbandoned", int64(abandoned))
	case ended != nil:
		kind, cause = Cancelled, ended
	}
	a.cancel(nil)
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	a.link.Count("BackendFaults."+string(kind), 1)
	return &FaultError{Backend: a.call.Backend, Kind: kind, Written: written, Reused: a.reused.Load(), Cause: cause}
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header returns the header fields.
func (a *Answer) Header() http.Header { return a.response.Header }

// Close ends the exchange before its end and closes the connection.
func (a *Answer) Close() { _ = a.fail(Cancelled, nil) }

// Reject ends an exchange whose answer is not a stream, and returns the fault.
func (a *Answer) Reject() error {
	return a.fail(Malformed, &ContentTypeError{ContentType: a.response.Header.Get("Content-Type")})
}

// finish ends the exchange after its end.
func (a *Answer) finish() {
	a.silence.pause()
	a.gate.release()
	_ = a.response.Body.Close()
	a.cancel(nil)
}

// delimited reports whether the end of the body can be told from a lost
// connection.
func (a *Answer) delimited() bool {
	if a.call.Method == http.MethodHead {
		return true
	}
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// Whole reads the body to its end. Every error is a *FaultError.
func (a *Answer) Whole() ([]byte, error) {
	if !a.delimited() {
		return nil, a.fail(Truncated, &UndelimitedError{})
	}
	a.silence.listen()
	body, err := io.ReadAll(io.LimitReader(a.response.Body, int64(a.link.options.MaxAnswerBytes)+1))
	if err != nil {
		return nil, a.fail(Truncated, err)
	}
	if len(body) > a.link.options.MaxAnswerBytes {
		return nil, a.fail(TooLarge, &LengthError{Bytes: a.link.options.MaxAnswerBytes})
	}
	a.finish()
	return body, nil
}
