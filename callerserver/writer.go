package callerserver

import "net/http"

// announcingWriter tells the caller in the header of an answer that the connection
// closes after it, if a stop has begun by then.
type announcingWriter struct {
	http.ResponseWriter
	server *Server
	// request is the request that is answered.
	request *http.Request
	// isAnnounced is true once the final header of the answer is complete.
	isAnnounced bool
}

// WriteHeader implements http.ResponseWriter.
func (w *announcingWriter) WriteHeader(status int) {
	if isFinal(status) {
		w.announce(status)
	}
	w.ResponseWriter.WriteHeader(status)
}

// isFinal reports whether no other header follows one with the status.
func isFinal(status int) bool {
	return status >= http.StatusOK || status == http.StatusSwitchingProtocols
}

// Write implements http.ResponseWriter.
func (w *announcingWriter) Write(content []byte) (int, error) {
	w.announce(http.StatusOK)
	return w.ResponseWriter.Write(content)
}

// FlushError flushes the answer. http.ResponseController calls it.
func (w *announcingWriter) FlushError() error {
	w.announce(http.StatusOK)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap gives http.ResponseController access to the other methods of the writer.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// announce completes the header of an answer. The rest of a body that is too long is not
// read, since the connection closes: http.MaxBytesReader can't ask for that through this
// writer.
func (w *announcingWriter) announce(status int) {
	if w.isAnnounced {
		return
	}
	w.isAnnounced = true
	if w.server.currentStage() != running || status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close")
	}
	if c := connectionOf(w.request.Context()); c != nil && mayEndWithConnection(w.request, status, w.Header()) {
		c.endWithReset()
	}
}
