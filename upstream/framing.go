package upstream

import "net/http"

// Framing is how the end of an answer's body is shown.
type Framing string

const (
	// NoBody means that the answer has no body, since it is that to a HEAD request.
	NoBody Framing = "NoBody"
	// WithLength means that the header names the length.
	WithLength Framing = "Length"
	// WithChunks means that the last chunk is the end.
	WithChunks Framing = "Chunks"
	// UntilClose means that the end of the connection is that of the body.
	UntilClose Framing = "Connection"
)

// Framing returns how the end of the body is shown.
func (a *Answer) Framing() Framing {
	switch {
	case a.response.Request != nil && a.response.Request.Method == http.MethodHead:
		return NoBody
	case len(a.response.TransferEncoding) > 0:
		return WithChunks
	case a.response.ContentLength >= 0:
		return WithLength
	default:
		return UntilClose
	}
}

// IsDelimited reports whether the end of the body can be distinguished from a lost
// connection.
func (a *Answer) IsDelimited() bool { return a.Framing() != UntilClose }
