package dispatch

import (
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// endEvent is the payload of the last event of a stream.
var endEvent = []byte("[DONE]")

// relayStream passes on whole events until the end event.
func (f *flight) relayStream(given *backend.Answer, seen Observation, begin time.Time) (Observation, error) {
	header := toCaller(given.Header())
	for {
		chunk, err := given.Next()
		if err != nil && f.ctx.Err() == nil && f.transcript.complete() {
			return seen, f.endStream(header, f.transcript.closing(), err)
		}
		if err != nil {
			return seen, err
		}
		if chunk.Last {
			return seen, f.endStream(header, nil, nil)
		}
		seen = seen.withUsage(chunk.Usage)
		before := f.transcript.tokens
		payload := f.transcript.take(chunk)
		if before == f.transcript.earlier && f.transcript.tokens > before {
			seen.FirstToken = f.Clock.Since(begin)
			f.firstToken(seen.FirstToken)
		}
		if f.transcript.opaque && f.transcript.collects() {
			given.Close()
			return seen, &CollectError{Backend: f.target.Name}
		}
		if payload != nil && f.request.Stream {
			given.Pause()
			f.pass(header, payload)
		}
	}
}

// pass gives the caller an event.
func (f *flight) pass(header http.Header, payload []byte) {
	if !f.began {
		f.passed(f.head(http.StatusOK, header))
	}
	f.passed(f.chunk(frame(payload)))
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

// endStream passes on the end of the stream, or the collected answer. The
// closing event stands for one that was lost with the backend server after the
// last token.
//
// The failure of the backend server after the last token, if there was one,
// counts as a crash although the answer is whole: the request may end every
// server that runs it there.
func (f *flight) endStream(header http.Header, closing []byte, failure error) error {
	if err := f.apply(request.AnswerWhole); err != nil {
		return err
	}
	if failure == nil {
		f.Suspects.Answered(f.fingerprint, f.Clock.Now())
	} else {
		f.judge(f.target, failure)
	}
	if !f.request.Stream {
		header.Set("Content-Type", "application/json")
		f.passed(f.head(http.StatusOK, header))
		f.passed(f.chunk(f.transcript.whole()))
		return nil
	}
	if closing != nil {
		f.pass(header, closing)
	}
	f.pass(header, endEvent)
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
