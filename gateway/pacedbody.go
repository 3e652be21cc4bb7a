package gateway

import (
	"io"
	"net/http"
)

// pacedBody is the body of a request whose sender has to make progress.
type pacedBody struct {
	io.ReadCloser
	pace *pace
	// isStepping is true during a step, of which stepped bytes were read.
	isStepping bool
	stepped    int
	isCut      bool
}

// newPacedBody returns the body of the request.
func (x *exchange) newPacedBody() *pacedBody {
	controller := http.NewResponseController(x.writer)
	return &pacedBody{ReadCloser: x.request.Body, pace: &pace{
		clock: x.Clock, held: x.body, interrupt: func() { _ = controller.SetReadDeadline(longAgo) },
	}}
}

// Read implements io.Reader.
func (b *pacedBody) Read(content []byte) (int, error) {
	if !b.isStepping {
		b.isStepping, b.stepped = true, 0
		b.pace.begin()
	}
	count, err := b.ReadCloser.Read(content)
	b.stepped += count
	if b.stepped >= stepBytes || err != nil {
		b.stop()
	}
	return count, err
}

// stop ends the current step. It reports whether the sender was too slow for any.
func (b *pacedBody) stop() (isCut bool) {
	if b.isStepping {
		b.isStepping = false
		b.isCut = b.pace.end() || b.isCut
	}
	return b.isCut
}
