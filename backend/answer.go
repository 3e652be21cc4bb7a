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

// attemptsPerDeadline is the number of attempts of an idempotent call that fit
// before its deadline when all of them time out on silence.
const attemptsPerDeadline = 3

// Answer is a call whose answer has begun to arrive.
type Answer struct {
	client *Client
	call   Call
	ctx    context.Context
	cancel context.CancelCauseFunc
	// detach keeps the exchange from ending with the context of its attempt.
	detach func() bool
	// answer is nil until the header of the answer has arrived.
	answer *upstream.Answer
	// ended guards against ending the exchange twice.
	ended sync.Once
	// reader is set by the first call of Next.
	reader  *bufio.Reader
	silence *silenceTimer
	// first is the first event if AwaitData has read it and Next has not returned it.
	first *Chunk
	// body is the complete body if hasBody is true.
	body    []byte
	hasBody bool
	// bytes is the number of bytes read of a streamed body.
	bytes int
}

func (c *Client) newAnswer(ctx context.Context, call Call) *Answer {
	a := &Answer{client: c, call: call}
	a.ctx, a.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	a.detach = context.AfterFunc(ctx, func() { a.cancel(context.Cause(ctx)) })
	a.silence = newSilenceTimer(c.Clock, c.silenceTimeout(call), a.onSilence)
	return a
}

// silenceTimeout returns the silence timeout of a call. For an idempotent call that
// is not streamed it is a fraction of the time left before the deadline, to leave
// the larger part for retries.
func (c *Client) silenceTimeout(call Call) time.Duration {
	if call.Stream {
		return c.options.StreamSilenceTimeout
	}
	if !call.Idempotent || call.Deadline.IsZero() {
		return c.options.SilenceTimeout
	}
	share := call.Deadline.Sub(c.Clock.Now()) / attemptsPerDeadline
	return min(max(share, c.options.MinSilenceTimeout), c.options.SilenceTimeout)
}

// onSilence reports the silence to the caller of Send, or cancels the exchange with a
// SilentError.
func (a *Answer) onSilence() {
	if a.call.OnSilence == nil {
		a.cancel(&SilentError{})
		return
	}
	a.silence.repeat()
	a.call.OnSilence()
}

// onRead restarts the silence timer when bytes of a body that is not a stream are
// received. Bytes of a header, or of a stream without an event, could arrive without end.
func (a *Answer) onRead() {
	if a.answer != nil && a.reader == nil {
		a.silence.reset()
	}
}

// fail ends the exchange, closes its connection and returns the fault. If the exchange
// was cancelled, the kind and the cause of the fault come from its context. A Silent
// fault closes the idle connections to the same address, too.
func (a *Answer) fail(kind FaultKind, cause error) *FaultError {
	fault := &FaultError{Backend: a.call.Backend, Kind: kind, MaybeWritten: true, Cause: cause}
	var silent *SilentError
	switch ended := context.Cause(a.ctx); {
	case errors.As(ended, &silent):
		fault.Kind, fault.Cause = Silent, ended
		abandoned := a.client.pool.CloseIdleTo(a.call.Address)
		a.client.Count("BackendConnectionsAbandoned", int64(abandoned))
	case ended != nil && a.silence.isExpired():
		fault.Kind, fault.Cause = Silent, ended
	case ended != nil:
		fault.Kind, fault.Cause = Cancelled, ended
	}
	if a.answer != nil {
		fault.Reused = a.answer.Reused
	}
	a.end(false)
	a.client.Count("BackendFaults."+string(fault.Kind), 1)
	return fault
}

// failToSend is fail for an exchange without an answer. It sets MaybeWritten and Reused of
// the fault from the error.
func (a *Answer) failToSend(kind FaultKind, err error) error {
	fault := a.fail(kind, err)
	var unwritten *upstream.UnwrittenError
	fault.MaybeWritten = !errors.As(err, &unwritten)
	var invalid *upstream.InvalidAnswerError
	if errors.As(err, &invalid) {
		fault.Reused = invalid.Reused
	}
	return fault
}

// end ends the exchange. The connection returns to the pool when complete is true
// and no bytes are left to read on it.
func (a *Answer) end(complete bool) {
	a.ended.Do(func() {
		a.silence.stop()
		a.detach()
		if a.answer != nil {
			a.answer.Close(complete)
		}
		a.cancel(nil)
	})
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.answer.Status }

// Header returns the header fields.
func (a *Answer) Header() http.Header { return a.answer.Header }

// Close aborts the exchange and closes its connection.
func (a *Answer) Close() { _ = a.fail(Cancelled, nil) }

// Reject aborts a streaming call whose answer is not a stream, and returns the
// fault.
func (a *Answer) Reject() error {
	return a.fail(Malformed, &ContentTypeError{ContentType: a.answer.Header.Get("Content-Type")})
}

// ReadAll reads the complete body and ends the exchange. Every error is a *FaultError.
func (a *Answer) ReadAll() ([]byte, error) {
	if a.hasBody {
		return a.body, nil
	}
	if !a.answer.IsDelimited() {
		return nil, a.fail(Truncated, &UndelimitedError{})
	}
	a.silence.start()
	body, err := io.ReadAll(io.LimitReader(a.answer, int64(a.client.options.MaxAnswerBytes)+1))
	if err != nil {
		return nil, a.fail(Truncated, err)
	}
	if len(body) > a.client.options.MaxAnswerBytes {
		return nil, a.fail(TooLarge, &LengthError{Bytes: a.client.options.MaxAnswerBytes})
	}
	a.end(true)
	return body, nil
}

// AwaitData waits for the first event of a stream, or for the complete body of another
// answer. Next or ReadAll return it afterwards. A stream without an event before its end has
// no data, and fails. Every error is a *FaultError.
func (a *Answer) AwaitData() error {
	if !a.call.Stream || a.Status() != http.StatusOK || !a.IsStream() {
		body, err := a.ReadAll()
		a.body, a.hasBody = body, err == nil
		return err
	}
	chunk, err := a.Next()
	if err != nil {
		return err
	}
	if chunk.Last {
		a.client.Count("BackendFaults."+string(Malformed), 1)
		return &FaultError{Backend: a.call.Backend, Kind: Malformed, MaybeWritten: true, Reused: a.answer.Reused, Cause: &EmptyStreamError{}}
	}
	a.silence.stop()
	a.first = &chunk
	return nil
}
