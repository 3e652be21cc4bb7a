package front

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// answerWriter forwards a backend server's answer to the caller.
type answerWriter struct {
	response  http.ResponseWriter
	requestID string
	// isStream is true if the header is sent before the outcome is known. The
	// outcome is then sent as a trailer.
	isStream bool
	// headWritten is true once the status line and header were written.
	headWritten bool
}

// Head implements dispatch.Writer.
func (w *answerWriter) Head(status int, header http.Header) error {
	callerHeader := w.response.Header()
	maps.Copy(callerHeader, header)
	callerHeader.Set(HeaderRequestID, w.requestID)
	if w.isStream {
		callerHeader.Set("Trailer", HeaderOutcome)
		callerHeader.Del("Content-Length")
	} else {
		callerHeader.Set(HeaderOutcome, request.Answered.String())
	}
	w.headWritten = true
	w.response.WriteHeader(status)
	return nil
}

// Chunk implements dispatch.Writer.
func (w *answerWriter) Chunk(chunk []byte) error {
	if _, err := w.response.Write(chunk); err != nil {
		return &CallerGoneError{Cause: err}
	}
	if !w.isStream {
		return nil
	}
	if err := http.NewResponseController(w.response).Flush(); err != nil {
		return &CallerGoneError{Cause: err}
	}
	return nil
}

// Finish implements dispatch.Finisher. An incomplete stream ends with an error event
// and without the [DONE] event.
func (w *answerWriter) Finish(result dispatch.Result) {
	problem := problemFromResult(result)
	problem.RequestID = w.requestID
	if !w.headWritten {
		problem.write(w.response)
		return
	}
	if !w.isStream {
		return
	}
	if result.Outcome != request.Answered {
		w.writeErrorEvent(problem)
	}
	w.response.Header().Set(HeaderOutcome, result.Outcome.String())
}

func (w *answerWriter) writeErrorEvent(problem Problem) {
	// A struct of strings and numbers always encodes.
	encoded, _ := json.Marshal(struct {
		Error Problem `json:"error"`
	}{problem})
	// Chunk fails only if the caller has disconnected. The error is ignored, since the
	// caller can no longer be reached.
	_ = w.Chunk(fmt.Appendf(nil, "data: %s\n\n", encoded))
}
