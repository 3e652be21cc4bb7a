package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

// receivedBody is a body of which memory and connection may have to make room for others. It implements
// holder.
type receivedBody struct {
	held *buffer.Body
	// ctx is the context of the request.
	ctx context.Context
}

// Stall tells that the sender of the body sends nothing.
func (b receivedBody) Stall(cut func()) {
	b.held.Stall(cut)
	callerserver.StallBody(b.ctx, cut)
}

// Resume tells that the sender goes on.
func (b receivedBody) Resume() {
	b.held.Resume()
	callerserver.ResumeBody(b.ctx)
}

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
		clock: x.Clock, held: receivedBody{held: x.body, ctx: x.request.Context()}, interrupt: func() { _ = controller.SetReadDeadline(longAgo) },
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
