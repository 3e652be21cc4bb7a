package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
)

// Request is what is sent to a runner.
type Request struct {
	Address string
	// MostConnections bounds the connections to the runner; zero means no
	// bound.
	MostConnections int
	// Fresh asks for a new connection.
	Fresh  bool
	Method string
	// Target is the path and query, sent as it is.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Heard is called after each read of the answer that returned bytes; it
	// may be nil.
	Heard func()
}

// Answer is a runner's answer whose body has not been read. Close must be
// called once.
type Answer struct {
	Status int
	Header http.Header
	// Reused is true when the connection had carried an earlier request.
	Reused bool

	pool       *Pool
	connection *connection
	response   *http.Response
	// stop ends the watch over the context.
	stop func() bool
	// written tells when the whole request has been written.
	written chan error
	// whole is true when the body was read to its end.
	whole bool
}

// Send writes a request and reads the head of its answer. It fails with an
// *UnwrittenError or a *BrokenError. When ctx ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, request Request) (*Answer, error) {
	c, err := p.take(ctx, request)
	if err != nil {
		return nil, &UnwrittenError{Address: request.Address, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	answer, err := p.exchange(c, request)
	if err != nil {
		stop()
		p.drop(c)
		if ctx.Err() != nil {
			err = replaceCause(err, context.Cause(ctx))
		}
		return nil, err
	}
	answer.stop = stop
	return answer, nil
}

// replaceCause keeps the kind of a failure and gives it another cause.
func replaceCause(err, cause error) error {
	var unwritten *UnwrittenError
	if errors.As(err, &unwritten) {
		return &UnwrittenError{Address: unwritten.Address, Cause: cause}
	}
	var broken *BrokenError
	if errors.As(err, &broken) {
		return &BrokenError{Address: broken.Address, Reused: broken.Reused, Cause: cause}
	}
	return err
}

// inlineBytes is the size of a request up to which it is written before the
// answer is read. A runner that answers a longer one early need not read on.
const inlineBytes = 8 << 10

func (p *Pool) exchange(c *connection, request Request) (*Answer, error) {
	isReused := c.used
	c.used = true
	c.heard = request.Heard
	written, err := c.write(encode(request))
	if err != nil {
		return nil, err
	}
	response, err := c.readHead(request.Method, p.options.MostHeadBytes) //nolint:bodyclose // Answer.Close ends or keeps the connection.
	if err != nil {
		return nil, &BrokenError{Address: request.Address, Reused: isReused, Cause: err}
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Reused: isReused,
		pool: p, connection: c, response: response, written: written,
	}, nil
}

// write writes a short request at once and a longer one in the background. The
// channel tells when the whole request has been written.
func (c *connection) write(content []byte) (chan error, error) {
	written := make(chan error, 1)
	if len(content) > inlineBytes {
		go func() {
			_, err := c.raw.Write(content)
			written <- err
		}()
		return written, nil
	}
	count, err := c.raw.Write(content)
	if err != nil {
		return nil, c.writeFailure(count, err)
	}
	written <- nil
	return written, nil
}

// writeFailure tells whether the kernel took a byte.
func (c *connection) writeFailure(count int, err error) error {
	if count == 0 {
		return &UnwrittenError{Address: c.address, Cause: err}
	}
	return &BrokenError{Address: c.address, Cause: err}
}

// readHead reads the head of the final answer.
func (c *connection) readHead(method string, most int) (*http.Response, error) {
	c.headLeft = most
	defer func() { c.headLeft = noHead }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// encode returns the bytes of a request. The target is not normalised.
func encode(request Request) []byte {
	var content bytes.Buffer
	content.Grow(len(request.Body) + headBytes)
	content.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&content)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		content.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	content.WriteString("\r\n")
	content.Write(request.Body)
	return content.Bytes()
}

// headBytes is room for the head of a usual request.
const headBytes = 1 << 10

// IsDelimited reports whether the end of the body can be told from a lost
// connection.
func (a *Answer) IsDelimited() bool {
	isHead := a.response.Request != nil && a.response.Request.Method == http.MethodHead
	return isHead || a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// Read reads the body. The end of a body that has no length is the runner's
// orderly close of the connection.
func (a *Answer) Read(buffer []byte) (int, error) {
	count, err := a.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return count, err
}

// ReadAll returns the whole body or fails with a *BrokenError.
func (a *Answer) ReadAll() ([]byte, error) {
	most := a.pool.options.MostAnswerBytes
	body, err := io.ReadAll(io.LimitReader(a, int64(most)+1))
	if err != nil {
		return nil, &BrokenError{Address: a.connection.address, Cause: err}
	}
	if len(body) > most {
		return nil, &BrokenError{Address: a.connection.address, Cause: &LongAnswerError{Most: most}}
	}
	return body, nil
}

// Close ends the exchange. The connection is kept when the answer was whole and
// valid says that it was the right one; otherwise the runner sees a close.
func (a *Answer) Close(valid bool) {
	if !a.stop() || !valid || !a.whole || a.response.Close || !a.isWritten() || a.connection.reader.Buffered() > 0 {
		a.pool.drop(a.connection)
		return
	}
	keep := a.pool.options.KeepIdle
	if told, found := idleTime(a.Header); found {
		keep = min(keep, told-a.pool.options.IdleMargin)
	}
	if keep <= 0 {
		a.pool.drop(a.connection)
		return
	}
	a.connection.until = a.pool.common.Clock.Now().Add(keep)
	a.pool.keep(a.connection)
}

// isWritten reports whether the whole request was written without an error.
func (a *Answer) isWritten() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}
