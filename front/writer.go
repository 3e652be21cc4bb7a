package front

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// answerWriter passes a backend server's answer on to the caller.
type answerWriter struct {
	response  http.ResponseWriter
	requestID string
	// isStream says that the head goes out before the outcome is known. The
	// outcome is a trailer then.
	isStream bool
	// hasHead says that the status line was written.
	hasHead bool
}

// Head implements dispatch.Writer.
func (w *answerWriter) Head(status int, header http.Header) error {
	target := w.response.Header()
	maps.Copy(target, header)
	target.Set(HeaderRequestID, w.requestID)
	if w.isStream {
		target.Set("Trailer", HeaderOutcome)
		target.Del("Content-Length")
	} else {
		target.Set(HeaderOutcome, request.Answered.String())
	}
	w.hasHead = true
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

// Finish implements dispatch.Finisher. A stream that was not answered whole
// ends with an error event and without its end event.
func (w *answerWriter) Finish(result dispatch.Result) {
	problem := problemOfResult(result)
	problem.RequestID = w.requestID
	if !w.hasHead {
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
	// A struct of texts and numbers always encodes.
	encoded, _ := json.Marshal(struct {
		Error Problem `json:"error"`
	}{problem})
	// The caller may be gone, and nobody is left to tell.
	_ = w.Chunk(fmt.Appendf(nil, "data: %s\n\n", encoded))
}
