package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/buffer"
)

// Request is a request to a runner.
type Request struct {
	Address string
	// MaxConnections bounds the connections to the runner. Zero means no limit.
	MaxConnections int
	// NewConnection requires a new connection.
	NewConnection bool
	// ToleratesReset is true if the request can be sent again after a reset. Other
	// requests use an idle connection only if it is unlikely to be stale.
	ToleratesReset bool
	Method         string
	// Target is the path with the query. It is sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MayWrite is called before the first byte is written. Nothing is written if it returns false.
	// It may be nil.
	MayWrite func() bool
	// OnWritten is called when the kernel has taken the whole request. It may be nil.
	OnWritten func()
	// OnRead is called after each read of the answer that returned bytes. It may
	// be nil.
	OnRead func()
}

// Answer is a runner's answer whose body has not been read yet. Close must be called
// once.
type Answer struct {
	Status int
	Header http.Header
	// Reused is true if the connection had carried an earlier request.
	Reused bool

	pool       *Pool
	connection *connection
	response   *http.Response
	// detach detaches the connection from the context. It returns false if the
	// context has already closed the connection.
	detach func() bool
	// writing is the writing of the request.
	writing *writing
	// readToEnd is true once the body has been read to its end.
	readToEnd bool
	// hasSkipped is true once an answer to another request was skipped.
	hasSkipped bool
	// account counts the buffer for the body.
	account *buffer.Account
	// holdsBody is true from the return of the body by ReadAll to Release.
	holdsBody bool
}

// Send writes a request and reads the header of its answer. Its errors are
// *UnwrittenError and *InvalidAnswerError. The connection is closed when ctx ends.
func (p *Pool) Send(ctx context.Context, request Request) (*Answer, error) {
	c, err := p.acquire(ctx, request)
	if err != nil {
		return nil, &UnwrittenError{Address: request.Address, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	answer, err := p.exchange(c, request)
	if err != nil {
		stop()
		p.drop(c)
		if ctx.Err() != nil {
			return nil, replaceCause(err, context.Cause(ctx))
		}
		p.recordFailure(c, request, err)
		return nil, err
	}
	p.recordAnswer(c)
	answer.detach = stop
	return answer, nil
}

// replaceCause returns an error of the same type with another cause.
func replaceCause(err, cause error) error {
	var unwritten *UnwrittenError
	if errors.As(err, &unwritten) {
		return &UnwrittenError{Address: unwritten.Address, Cause: cause}
	}
	var invalid *InvalidAnswerError
	if errors.As(err, &invalid) {
		return &InvalidAnswerError{Address: invalid.Address, Reused: invalid.Reused, Idle: invalid.Idle, Cause: cause}
	}
	return err
}

func (p *Pool) exchange(c *connection, request Request) (*Answer, error) {
	c.beginUse(p.common.Clock.Now())
	c.onRead = request.OnRead
	c.hasCarriedHead = c.hasCarriedHead || request.Method == http.MethodHead
	if request.MayWrite != nil && !request.MayWrite() {
		return nil, &UnwrittenError{Address: request.Address, Cause: context.Canceled}
	}
	w, err := c.write(request)
	if err != nil {
		return nil, err
	}
	response, err := p.readHeader(c, request.Method) //nolint:bodyclose // Answer.Close closes or recycles the connection.
	if err != nil {
		return nil, c.invalidAnswer(err)
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Reused: c.use.isReused,
		pool: p, connection: c, response: response, writing: w,
		account: p.options.Budget.Open(request.Address, func() { _ = c.raw.Close() }),
	}, nil
}

// Read reads the body. A body without a length ends when the runner closes the
// connection in an orderly way, which it may have done before the body began. Read fails with
// an *UnprovedEndError if it is not certain that the end was orderly.
func (a *Answer) Read(buffer []byte) (int, error) {
	count, err := a.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		if failure := a.checkOrderlyEnd(); failure != nil {
			return count, failure
		}
		a.readToEnd = true
	}
	return count, err
}

// checkOrderlyEnd fails if a body that ends with its connection may have broken off. The kernel
// reports the failure of a connection once. If the write of the request gets that report, the
// read finds an end like an orderly one.
func (a *Answer) checkOrderlyEnd() error {
	if a.IsDelimited() {
		return nil
	}
	closeConnection := func() { _ = a.connection.raw.Close() }
	if err := a.writing.await(a.pool.common.Clock, closeConnection); err != nil {
		return &UnprovedEndError{Cause: err}
	}
	return nil
}

// Close ends the exchange. The connection returns to the pool if the answer was read
// completely and valid is true, which means that it was the answer to this request.
// Otherwise the connection is closed.
func (a *Answer) Close(valid bool) {
	reusable := a.detach() && valid
	if !a.holdsBody && a.account.Close() != nil {
		reusable = false
	}
	a.release(reusable)
}

// release returns the connection to the pool if it can carry another request, and closes
// it otherwise.
func (a *Answer) release(valid bool) {
	if !valid || !a.readToEnd || a.hasSkipped || a.response.Close || !a.writing.isComplete() || a.connection.reader.Buffered() > 0 {
		a.pool.drop(a.connection)
		return
	}
	idle := a.pool.options.IdleTimeout
	if timeout, found := keepAliveTimeout(a.Header); found {
		idle = min(idle, timeout-a.pool.options.IdleMargin)
	}
	if idle <= 0 {
		a.pool.drop(a.connection)
		return
	}
	a.connection.idleSince = a.pool.common.Clock.Now()
	a.connection.idleUntil = a.connection.idleSince.Add(idle)
	a.pool.recycle(a.connection)
}
