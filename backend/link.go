// Package backend sends requests to model engines and plain services over
// HTTP. It knows whether a byte was written, and passes on only answers that
// are whole and carry the identity of their request.
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
	// RequestIDHeader carries the identity of a request, both ways.
	RequestIDHeader = "X-Request-Id"
	// DeadlineHeader carries the milliseconds that are left of the deadline
	// when the request is sent.
	DeadlineHeader = "X-Request-Deadline-Ms"
	// ChunkIDPrefix stands before the request's identity in streams.
	ChunkIDPrefix = "cmpl-"
)

// Options bounds what the link does.
type Options struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// StreamSilence bounds the time without a byte in a streamed exchange.
	StreamSilence time.Duration
	// WholeSilence bounds the time without a byte in an exchange whose
	// answer comes in one piece.
	WholeSilence time.Duration
	// LeastSilence is the smallest bound that an idempotent call gets for the
	// sake of its deadline.
	LeastSilence time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// IdleConnections bounds the unused connections to one backend server.
	IdleConnections int
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes int
	// MaxHeaderBytes bounds the head of an answer.
	MaxHeaderBytes int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		DialTimeout:     time.Second,
		StreamSilence:   10 * time.Second,
		WholeSilence:    60 * time.Second,
		LeastSilence:    time.Second,
		IdleTimeout:     30 * time.Second,
		IdleConnections: 4,
		MaxAnswerBytes:  8 << 20,
		MaxHeaderBytes:  64 << 10,
	}
}

// Call is one attempt to run a request at a backend server.
type Call struct {
	// Backend is the VM name of the backend server.
	Backend string
	// Address is its host and port.
	Address string
	// ID is the identity of the request.
	ID string
	// Method, Path, Header and Body are sent as they are.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent allows the use of a pooled connection.
	Idempotent bool
	// Fresh asks for a new connection.
	Fresh bool
	// Stream expects server-sent events.
	Stream   bool
	Deadline time.Time
}

// Link sends calls. Its Done channel is closed by Close.
type Link struct {
	telemetry.Common
	options Options
	pool    *upstream.Pool
	// stop ends the goroutine that closes old connections.
	stop func()
	// cleaner is that goroutine.
	cleaner sync.WaitGroup
	// drains counts the ended streams whose connections are not settled.
	drains sync.WaitGroup
	done   chan struct{}
}

// New returns a link without connections.
func New(common telemetry.Common, options Options) *Link {
	ctx, stop := context.WithCancel(context.Background())
	l := &Link{
		Common: common, options: options, stop: stop, done: make(chan struct{}),
		pool: upstream.New(common, options.connections()),
	}
	l.cleaner.Go(func() { l.closeOldConnections(ctx) })
	return l
}

// idleMargin is taken off the time for which a backend server keeps an unused
// connection.
const idleMargin = time.Second

// connections returns the bounds on the connections.
func (o Options) connections() upstream.Options {
	return upstream.Options{
		DialTimeout: o.DialTimeout, Silence: o.StreamSilence,
		KeepIdle: o.IdleTimeout, IdleMargin: idleMargin, MostIdle: o.IdleConnections,
		MostHeadBytes: o.MaxHeaderBytes, MostAnswerBytes: o.MaxAnswerBytes,
	}
}

// closeOldConnections closes the connections that were unused for long, until
// ctx ends.
func (l *Link) closeOldConnections(ctx context.Context) {
	for clock.Sleep(ctx, l.Clock, l.options.IdleTimeout) == nil {
		l.pool.CloseIdle()
	}
}

// Done is closed when the link has been closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close drops the idle connections and waits for the goroutines of the link.
// It is called once, after the last call.
func (l *Link) Close() {
	l.stop()
	l.cleaner.Wait()
	l.drains.Wait()
	l.pool.CloseAllIdle()
	close(l.done)
}

// Send writes the call and waits for the head of its answer. Every error is
// a *FaultError. The caller ends a returned Answer by Close or by reading it
// whole.
func (l *Link) Send(ctx context.Context, call Call) (*Answer, error) {
	a, err := l.send(ctx, call)
	var fault *FaultError
	if call.Idempotent && errors.As(err, &fault) && fault.Kind == Closed && fault.Reused {
		// The backend server may have closed the connection for being idle.
		l.Count("BackendConnectionsStale", 1)
		call.Fresh = true
		return l.send(ctx, call)
	}
	return a, err
}

func (l *Link) send(ctx context.Context, call Call) (*Answer, error) {
	a := l.newAnswer(ctx, call)
	request, err := a.newRequest()
	if err != nil {
		return nil, a.failToSend(Malformed, &upstream.UnwrittenError{Address: call.Address, Cause: err})
	}
	a.silence.listen()
	a.answer, err = l.pool.Send(a.ctx, request)
	if err != nil {
		return nil, a.failToSend(kindOf(err), err)
	}
	if got := a.answer.Header.Get(RequestIDHeader); got != call.ID {
		return nil, a.fail(Foreign, &IdentityError{Want: call.ID, Got: got})
	}
	return a, nil
}

// kindOf names a failure before the head of the answer.
func kindOf(err error) FaultKind {
	var dial *upstream.DialError
	if errors.As(err, &dial) {
		return Refused
	}
	return Closed
}

// newRequest returns the HTTP request of the attempt. Its target has no byte
// that could end the request line.
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
		left := max(a.call.Deadline.Sub(a.link.Clock.Now()).Milliseconds(), 0)
		header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	}
	return upstream.Request{
		Address: a.call.Address, Host: a.call.Address, Fresh: a.call.Fresh || !a.call.Idempotent,
		Method: a.call.Method, Target: target.RequestURI(), Header: header, Body: a.call.Body,
		Heard: a.silence.heard,
	}, nil
}
