package dispatch

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// endEvent is the payload of the last event of a stream.
var endEvent = []byte("[DONE]")

// relayStream passes on whole events until the end event.
func (f *flight) relayStream(given *backend.Answer, seen Observation, begin time.Time) (Observation, error) {
	if !given.IsStream() {
		return seen, given.Reject()
	}
	header := toCaller(given.Header())
	for {
		chunk, err := given.Next()
		if err != nil && f.ctx.Err() == nil && f.transcript.complete() {
			return seen, f.endStream(f.transcript.closing())
		}
		if err != nil {
			return seen, err
		}
		if chunk.Last {
			return seen, f.endStream(nil)
		}
		seen = seen.withUsage(chunk.Usage)
		before := f.transcript.tokens
		payload := f.transcript.take(chunk)
		if before == f.transcript.earlier && f.transcript.tokens > before {
			seen.FirstToken = f.Clock.Since(begin)
			f.firstToken(seen.FirstToken)
		}
		if payload == nil {
			continue
		}
		if !f.began {
			f.passed(f.head(seen.Status, header))
		}
		f.passed(f.chunk(frame(payload)))
	}
}

// firstToken makes the first token of an attempt known.
func (f *flight) firstToken(wait time.Duration) {
	if observer, ok := f.Chooser.(FirstTokenObserver); ok {
		observer.FirstToken(f.target, f.request)
	}
	if f.transcript.earlier == 0 {
		f.record("FirstToken", f.target.Name, wait.String())
	}
}

// endStream passes on the end of the stream. The closing events stand for
// those that were lost with the backend server after the last token.
func (f *flight) endStream(closing []byte) error {
	if err := f.apply(request.AnswerWhole); err != nil {
		return err
	}
	f.Suspects.Answered(f.fingerprint, f.Clock.Now())
	if closing != nil {
		f.passed(f.chunk(frame(closing)))
	}
	f.passed(f.chunk(frame(endEvent)))
	return nil
}

// passed ends the request when its caller has gone, unless the answer is
// kept for another sending of the key.
func (f *flight) passed(err error) {
	if err != nil && f.slot == nil {
		f.cancel(&CallerError{Cause: err})
	}
}

// frame returns the server-sent event with that payload.
func frame(payload []byte) []byte {
	event := make([]byte, 0, len(payload)+8)
	event = append(event, "data: "...)
	event = append(event, payload...)
	return append(event, "\n\n"...)
}
