// Package backend sends requests to model engines and plain services over HTTP. It
// tracks whether a byte of a request may have been written, and returns only
// answers that are complete and carry the ID of their request.
package backend

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

const (
	// RequestIDHeader carries the request ID in requests and answers.
	RequestIDHeader = "X-Request-Id"
	// DeadlineHeader carries the milliseconds that remain until the deadline
	// when the request is sent.
	DeadlineHeader = "X-Request-Deadline-Ms"
	// ChunkIDPrefix precedes the request ID in the chunks of a stream.
	ChunkIDPrefix = "cmpl-"
)

// Options are the timeouts and limits of a Client.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// StreamSilenceTimeout bounds the time to the header of a streamed answer, and
	// between two of its events. Other bytes, such as comments, don't count.
	StreamSilenceTimeout time.Duration
	// SilenceTimeout bounds the time to the header of an answer that is not streamed,
	// and between two received bytes of its body.
	SilenceTimeout time.Duration
	// MinSilenceTimeout is the lower limit of the silence timeout of an
	// idempotent call, which is shortened when its deadline is near, to leave
	// time for retries.
	MinSilenceTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// IdleConnections bounds the idle connections to one backend server.
	IdleConnections int
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes int
	// MaxEventBytes bounds an event of a stream.
	MaxEventBytes int
	// MaxHeaderBytes bounds the status line and header of an answer.
	MaxHeaderBytes int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		DialTimeout:          time.Second,
		StreamSilenceTimeout: 10 * time.Second,
		SilenceTimeout:       60 * time.Second,
		MinSilenceTimeout:    time.Second,
		IdleTimeout:          30 * time.Second,
		IdleConnections:      4,
		MaxAnswerBytes:       8 << 20,
		MaxEventBytes:        1 << 20,
		MaxHeaderBytes:       64 << 10,
	}
}

// Call is one attempt to run a request at a backend server.
type Call struct {
	// Backend is the VM name of the backend server.
	Backend string
	// Address is the host:port of the backend server.
	Address string
	// ID is the request ID.
	ID string
	// Method, Path, Header and Body are sent unchanged, apart from the header
	// fields that Send sets.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent allows the use of a pooled connection and a retry when that
	// connection turns out to be stale.
	Idempotent bool
	// Fresh forces the use of a new connection.
	Fresh bool
	// Stream is true when the answer is expected as server-sent events.
	Stream   bool
	Deadline time.Time
	// OnSilence is called in a goroutine of its own when the silence timeout expires,
	// and then repeatedly until data arrives. If it is nil, the call fails instead.
	OnSilence func()
}

// Client sends calls to backend servers over pooled connections.
type Client struct {
	telemetry.Common
	options Options
	pool    *upstream.Pool
	// ctx ends when the client is closed.
	ctx  context.Context
	stop func()
	// cleaner waits for the goroutine that closes idle connections.
	cleaner sync.WaitGroup
	// drains waits for the ended exchanges whose connections are not yet
	// returned to the pool or closed.
	drains sync.WaitGroup
	done   chan struct{}
}

// New returns a client that has no connections yet.
func New(common telemetry.Common, options Options) *Client {
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{
		Common: common, options: options, ctx: ctx, stop: stop, done: make(chan struct{}),
		pool: upstream.New(common, options.upstreamOptions()),
	}
	c.cleaner.Go(c.closeIdleConnections)
	return c
}

// idleMargin is subtracted from the keep-alive time that a backend server announces,
// so that no request is sent on a connection that the server is closing.
const idleMargin = time.Second

// upstreamOptions returns the options of the connection pool.
func (o Options) upstreamOptions() upstream.Options {
	return upstream.Options{
		DialTimeout: o.DialTimeout, AckTimeout: o.StreamSilenceTimeout,
		IdleTimeout: o.IdleTimeout, IdleMargin: idleMargin, MaxIdle: o.IdleConnections,
		MaxHeaderBytes: o.MaxHeaderBytes, MaxBodyBytes: o.MaxAnswerBytes,
	}
}

// closeIdleConnections periodically closes the connections that have been idle for
// too long, until the client is closed.
func (c *Client) closeIdleConnections() {
	for clock.Sleep(c.ctx, c.Clock, c.options.IdleTimeout) == nil {
		c.pool.CloseExpired()
	}
}

// Done is closed when the client has been closed.
func (c *Client) Done() <-chan struct{} { return c.done }

// Close closes the idle connections and waits for the goroutines of the client. It
// must be called once, after the last call.
func (c *Client) Close() {
	c.stop()
	c.cleaner.Wait()
	c.drains.Wait()
	c.pool.CloseAllIdle()
	close(c.done)
}

// Send writes the call and waits for the status line and header of its answer. Every
// error is a *FaultError. The caller must close a returned Answer or read it to its
// end.
func (c *Client) Send(ctx context.Context, call Call) (*Answer, error) {
	a, err := c.send(ctx, call)
	var fault *FaultError
	if call.Idempotent && errors.As(err, &fault) && fault.Kind == Closed && fault.Reused {
		// The backend server may have closed the idle connection.
		c.Count("BackendConnectionsStale", 1)
		call.Fresh = true
		a, err = c.send(ctx, call)
		if errors.As(err, &fault) {
			// The first try was written.
			fault.MaybeWritten = true
		}
	}
	return a, err
}

func (c *Client) send(ctx context.Context, call Call) (*Answer, error) {
	a := c.newAnswer(ctx, call)
	if ctx.Err() != nil {
		a.cancel(context.Cause(ctx))
	}
	request, err := a.newRequest()
	if err != nil {
		return nil, a.failToSend(Malformed, &upstream.UnwrittenError{Address: call.Address, Cause: err})
	}
	a.silence.start()
	a.answer, err = c.pool.Send(a.ctx, request)
	if err != nil {
		return nil, a.failToSend(faultKindOf(err), err)
	}
	if got := a.answer.Header.Get(RequestIDHeader); got != call.ID {
		return nil, a.fail(Foreign, &RequestIDMismatchError{Want: call.ID, Got: got})
	}
	return a, nil
}

// faultKindOf classifies a failure before the header of the answer.
func faultKindOf(err error) FaultKind {
	var dial *upstream.DialError
	var late *upstream.HeaderTimeoutError
	var interim *upstream.InterimAnswersError
	var tooLarge *upstream.HeaderTooLargeError
	switch {
	case errors.As(err, &dial):
		return Refused
	case errors.As(err, &late):
		return Silent
	case errors.As(err, &interim):
		return Malformed
	case errors.As(err, &tooLarge):
		return TooLarge
	default:
		return Closed
	}
}

// newRequest returns the HTTP request of the attempt. Parsing the path ensures that
// no byte of the target can end the request line.
func (a *Answer) newRequest() (upstream.Request, error) {
	target, err := url.ParseRequestURI(a.call.Path)
	if err != nil {
		return upstream.Request{}, err
	}
	header := a.call.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(RequestIDHeader, a.call.ID)
	if !a.call.Deadline.IsZero() {
		left := max(a.call.Deadline.Sub(a.client.Clock.Now()).Milliseconds(), 0)
		header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	}
	return upstream.Request{
		Address: a.call.Address, Host: a.call.Address, NewConnection: a.call.Fresh || !a.call.Idempotent, ToleratesReset: a.call.Idempotent,
		Method: a.call.Method, Target: target.RequestURI(), Header: header, Body: a.call.Body,
		OnRead: a.onRead,
	}, nil
}
