package gateway

import (
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// newWritePace returns the pace of a caller that reads.
func (x *exchange) newWritePace(held holder) *pace {
	controller := http.NewResponseController(x.writer)
	return &pace{
		clock: x.Clock, held: held, interrupt: func() { _ = controller.SetWriteDeadline(longAgo) },
		pending: func() (int, bool) { return callerserver.UnacknowledgedBytes(x.request.Context()) },
	}
}

// deliver sends the caller the body of an answer. It returns false if the caller took it too slowly.
func (x *exchange) deliver(answer bufferedAnswer) bool {
	p := x.newWritePace(answer.source)
	written, err := x.writePaced(p, answer.body)
	// The kernel takes the rest of a short answer at once.
	if err == nil && len(answer.body) > stepBytes {
		err = x.flushPaced(p)
	}
	// Without a cut, the error is not needed: when the caller disconnects, the context of its
	// request ends.
	if !isSlowCaller(err) {
		return true
	}
	x.recordSlowReader(len(answer.body), written)
	return false
}

// writePaced writes to the caller in steps. It fails with a *SlowCallerError if the caller takes too
// long for one. It returns the number of bytes that were written.
func (x *exchange) writePaced(p *pace, content []byte) (written int, err error) {
	for len(content) > 0 {
		step := content[:min(stepBytes, len(content))]
		p.begin()
		count, err := x.writer.Write(step)
		written += count
		if p.end() {
			return written, &SlowCallerError{}
		}
		if err != nil {
			return written, err
		}
		content = content[len(step):]
	}
	return written, nil
}

// writeEvent sends the caller an event. It fails with a *CallerWriteError.
func (x *exchange) writeEvent(p *pace, e event) error {
	// Most events are short: one step sends the last part.
	begin := len(e.content) / stepBytes * stepBytes
	written, err := x.writePaced(p, e.content[:begin])
	if err == nil {
		var count int
		count, err = x.writeAndFlush(p, e.content[begin:])
		written += count
	}
	if isSlowCaller(err) {
		x.recordSlowReader(len(e.content), written)
	}
	if err != nil {
		return &CallerWriteError{Cause: err}
	}
	return nil
}

// writeAndFlush sends the caller one step and what was buffered before. It fails with a
// *SlowCallerError if the caller takes too long for it.
func (x *exchange) writeAndFlush(p *pace, step []byte) (written int, err error) {
	p.begin()
	written, err = x.writer.Write(step)
	if err == nil {
		err = http.NewResponseController(x.writer).Flush()
	}
	if p.end() {
		return written, &SlowCallerError{}
	}
	return written, err
}

// flushPaced sends the caller what is buffered. It fails with a *SlowCallerError if the caller takes
// too long for it.
func (x *exchange) flushPaced(p *pace) error {
	p.begin()
	err := http.NewResponseController(x.writer).Flush()
	if p.end() {
		return &SlowCallerError{}
	}
	return err
}

// recordSlowReader counts and logs a caller whose connection is closed since it took its answer too
// slowly.
func (x *exchange) recordSlowReader(bytes, written int) {
	x.Count("Callers.SlowReadersCut", 1)
	x.Log.Info("SlowReaderCut", "Request", x.call.ID, "Customer", x.customer.Name, "Caller", x.request.RemoteAddr,
		"Bytes", bytes, "WrittenBytes", written)
}
