package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// writeHead writes the head of a response to the caller.
func (f *inFlightRequest) writeHead(status int, header http.Header) error {
	f.headWritten = true
	f.saved.Status = status
	f.saved.Header = request.Header(header)
	return f.writer.Head(status, header)
}

// writeChunk writes a part of a response body to the caller.
func (f *inFlightRequest) writeChunk(piece []byte) error {
	if f.pending != nil {
		f.saveChunk(piece)
	}
	return f.writer.Chunk(piece)
}

// saveChunk appends a part to the answer stored for other requests with the same
// key.
func (f *inFlightRequest) saveChunk(piece []byte) {
	if len(f.saved.Body)+len(piece) > f.options.MaxTextBytes {
		f.savedTruncated = true
		return
	}
	f.saved.Body = append(f.saved.Body, piece...)
}

// recordEvent records an event in the timeline.
func (f *inFlightRequest) recordEvent(kind, backendName, detail string) {
	f.Events.Record(telemetry.Event{
		Kind: kind, Request: f.request.ID, Customer: f.request.Customer,
		Backend: backendName, Detail: detail,
	})
}

// reportAttempt reports the result of an attempt to the chooser and the metrics.
func (f *inFlightRequest) reportAttempt(target Target, start time.Time, observed Observation, err error) {
	var fault *backend.FaultError
	if errors.As(err, &fault) {
		observed.Fault = fault.Kind
	}
	observed.Duration = f.Clock.Since(start)
	f.Count("Tokens.Prompt", int64(observed.PromptTokens))
	f.Count("Tokens.Cached", int64(observed.CachedTokens))
	f.Count("Tokens.Completion", int64(observed.CompletionTokens))
	f.Chooser.AttemptEnded(target, f.request, observed)
}
