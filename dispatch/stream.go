package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// doneEvent is the payload of the last event of a stream.
var doneEvent = []byte("[DONE]")

// relayStream relays complete events until the [DONE] event.
func (f *inFlightRequest) relayStream(response *backend.Answer, observed Observation, start time.Time) (Observation, error) {
	header := callerHeader(response.Header())
	for {
		chunk, err := response.Next()
		if err != nil && f.ctx.Err() == nil && f.stream.complete() {
			return observed, f.endStream(header, f.stream.finalChunk(), err)
		}
		if err != nil {
			return observed, err
		}
		if chunk.Last && !f.stream.endable() {
			return observed, f.rejectEnd()
		}
		if chunk.Last {
			return observed, f.endStream(header, f.stream.finalChunk(), nil)
		}
		observed = observed.withUsage(chunk.Usage)
		before := f.stream.tokens
		payload, err := f.addChunk(chunk)
		if err != nil {
			response.Close()
			return observed, err
		}
		if before == f.stream.priorTokens && f.stream.tokens > before {
			observed.FirstToken = f.Clock.Since(start)
			f.reportFirstToken(observed.FirstToken)
		}
		if f.stream.unresumable && f.stream.collectsStream() {
			response.Close()
			return observed, &CollectError{Backend: f.target.Name}
		}
		if payload != nil && f.request.Stream {
			response.PauseSilenceTimer()
			f.writeEvent(header, payload)
		}
	}
}

// rejectEnd returns the fault of a backend server that has ended an incomplete stream.
func (f *inFlightRequest) rejectEnd() error {
	f.Count("BackendFaults."+string(backend.Malformed), 1)
	return &backend.FaultError{
		Backend: f.target.Name, Kind: backend.Malformed, MaybeWritten: true,
		Cause: &IncompleteStreamError{Backend: f.target.Name, Tokens: f.stream.tokens},
	}
}

// addChunk adds a chunk to the state of the stream and returns the payload to relay to the
// caller, or nil. It fails if a hedge has delivered data before.
func (f *inFlightRequest) addChunk(chunk backend.Chunk) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.takeData() {
		return nil, &HedgeLostError{Backend: f.target.Name}
	}
	return f.stream.addChunk(chunk), nil
}

// isFreeContinuation reports whether the next attempt is not charged to the retry budget.
// Continuing a stream that has received tokens in the last attempt can't multiply the load,
// and ending the stream would break off the response that the caller is already receiving,
// so the failure of a whole zone does not use up the budget. A backend server that ends
// streams early would get attempts without a limit, so these are charged.
func (f *inFlightRequest) isFreeContinuation(failure error) bool {
	var incomplete *IncompleteStreamError
	return f.stream.progressed() && !errors.As(failure, &incomplete)
}

// writeEvent writes an event to the caller.
func (f *inFlightRequest) writeEvent(header http.Header, payload []byte) {
	if !f.headWritten {
		f.handleWriteError(f.writeHead(http.StatusOK, header))
	}
	f.handleWriteError(f.writeChunk(encodeEvent(payload)))
}

// reportFirstToken reports the first token of an attempt to the chooser, and the
// first token of the response to the timeline.
func (f *inFlightRequest) reportFirstToken(latency time.Duration) {
	if observer, ok := f.Chooser.(FirstTokenObserver); ok {
		observer.FirstToken(f.target, f.request)
	}
	if f.stream.priorTokens == 0 {
		f.recordEvent("FirstToken", f.target.Name, latency.String())
	}
}

// endStream writes the end of the stream, or the collected response. finalChunk
// replaces the last chunk if the backend server did not send it after the last token.
//
// A failure of the backend server after the last token counts as a crash although the
// response is complete: the request may crash every server that runs it at this point.
func (f *inFlightRequest) endStream(header http.Header, finalChunk []byte, failure error) error {
	if err := f.apply(request.AnswerWhole); err != nil {
		return err
	}
	if failure == nil {
		f.Suspects.RecordAnswer(f.fingerprint, f.Clock.Now())
	} else {
		f.checkForCrash(f.target, f.attemptStarted, failure)
	}
	if !f.request.Stream {
		header.Set("Content-Type", "application/json")
		f.handleWriteError(f.writeHead(http.StatusOK, header))
		f.handleWriteError(f.writeChunk(f.stream.collectedResponse()))
		return nil
	}
	if finalChunk != nil {
		f.writeEvent(header, finalChunk)
	}
	f.writeEvent(header, doneEvent)
	return nil
}

// handleWriteError ends the request if writing to the caller failed, unless the
// answer is stored for other requests with the same key.
func (f *inFlightRequest) handleWriteError(err error) {
	if err != nil && f.pending == nil {
		f.cancel(&CallerGoneError{Cause: err})
	}
}

// encodeEvent returns the server-sent event with the payload.
func encodeEvent(payload []byte) []byte {
	event := make([]byte, 0, len(payload)+8)
	event = append(event, "data: "...)
	event = append(event, payload...)
	return append(event, "\n\n"...)
}
