package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// attemptsInDeadline is how many attempts of an idempotent call have time
// before its deadline when all of them go silent.
const attemptsInDeadline = 3

// Answer is an exchange whose answer has begun.
type Answer struct {
	link   *Link
	call   Call
	ctx    context.Context
	cancel context.CancelCauseFunc
	// answer is nil until the head of the answer has arrived.
	answer *upstream.Answer
	// ended makes the exchange end once.
	ended sync.Once
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
func (a *Answer) onSilence() { a.cancel(&SilentError{}) }

// fail ends the exchange, closes its connection and returns the fault.
func (a *Answer) fail(kind FaultKind, cause error) *FaultError {
	fault := &FaultError{Backend: a.call.Backend, Kind: kind, Written: true, Cause: cause}
	var silent *SilentError
	switch ended := context.Cause(a.ctx); {
	case errors.As(ended, &silent):
		fault.Kind, fault.Cause = Silent, ended
		abandoned := a.link.pool.CloseIdleTo(a.call.Address)
		a.link.Count("BackendConnectionsAbandoned", int64(abandoned))
	case ended != nil:
		fault.Kind, fault.Cause = Cancelled, ended
	}
	if a.answer != nil {
		fault.Reused = a.answer.Reused
	}
	a.end(false)
	a.link.Count("BackendFaults."+string(fault.Kind), 1)
	return fault
}

// failToSend ends an exchange that has no answer, and returns the fault.
func (a *Answer) failToSend(kind FaultKind, err error) error {
	fault := a.fail(kind, err)
	var unwritten *upstream.UnwrittenError
	fault.Written = !errors.As(err, &unwritten)
	var broken *upstream.BrokenError
	if errors.As(err, &broken) {
		fault.Reused = broken.Reused
	}
	return fault
}

// end ends the exchange. The connection is kept when isWhole is true and
// nothing is left to read on it.
func (a *Answer) end(isWhole bool) {
	a.ended.Do(func() {
		a.silence.pause()
		if a.answer != nil {
			a.answer.Close(isWhole)
		}
		a.cancel(nil)
	})
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.answer.Status }

// Header returns the header fields.
func (a *Answer) Header() http.Header { return a.answer.Header }

// Close ends the exchange before its end and closes the connection.
func (a *Answer) Close() { _ = a.fail(Cancelled, nil) }

// Reject ends an exchange whose answer is not a stream, and returns the fault.
func (a *Answer) Reject() error {
	return a.fail(Malformed, &ContentTypeError{ContentType: a.answer.Header.Get("Content-Type")})
}

// Whole reads the body to its end. Every error is a *FaultError.
func (a *Answer) Whole() ([]byte, error) {
	if !a.answer.IsDelimited() {
		return nil, a.fail(Truncated, &UndelimitedError{})
	}
	a.silence.listen()
	body, err := io.ReadAll(io.LimitReader(a.answer, int64(a.link.options.MaxAnswerBytes)+1))
	if err != nil {
		return nil, a.fail(Truncated, err)
	}
	if len(body) > a.link.options.MaxAnswerBytes {
		return nil, a.fail(TooLarge, &LengthError{Bytes: a.link.options.MaxAnswerBytes})
	}
	a.end(true)
	return body, nil
}
