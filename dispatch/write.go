package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// head passes on the head of an answer.
func (f *flight) head(status int, header http.Header) error {
	f.began = true
	f.kept.Status = status
	f.kept.Header = request.Header(header)
	return f.writer.Head(status, header)
}

// chunk passes on a piece of an answer.
func (f *flight) chunk(piece []byte) error {
	if f.slot != nil {
		f.keep(piece)
	}
	return f.writer.Chunk(piece)
}

// keep adds a piece to the answer for other sendings of the key.
func (f *flight) keep(piece []byte) {
	if len(f.kept.Body)+len(piece) > f.options.MaxTextBytes {
		f.truncated = true
		return
	}
	f.kept.Body = append(f.kept.Body, piece...)
}

// record adds an event to the time line.
func (f *flight) record(kind, backendName, detail string) {
	f.Events.Record(telemetry.Event{
		Kind: kind, Request: f.request.ID, Customer: f.request.Customer,
		Backend: backendName, Detail: detail,
	})
}

// observe reports an attempt to the chooser.
func (f *flight) observe(target Target, begin time.Time, seen Observation, err error) {
	var fault *backend.FaultError
	if errors.As(err, &fault) {
		seen.Fault = fault.Kind
	}
	seen.Duration = f.Clock.Since(begin)
	f.Count("Tokens.Prompt", int64(seen.PromptTokens))
	f.Count("Tokens.Cached", int64(seen.CachedTokens))
	f.Count("Tokens.Completion", int64(seen.CompletionTokens))
	f.Chooser.Ended(target, f.request, seen)
}
