// Package backend sends requests to model engines and plain services over
// HTTP. It knows whether a byte was written, and passes on only answers that
// are whole and carry the identity of their request.
package backend

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
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
	MaxHeaderBytes int64
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
	pool    *pool
	// pooled keeps connections for idempotent calls.
	pooled *http.Transport
	// fresh makes a connection for every call. Its requests are never
	// replayed, because net/http replays only on reused connections.
	fresh *http.Transport
	// drains counts the ended streams whose connections are not settled.
	drains sync.WaitGroup
	done   chan struct{}
}

// New returns a link without connections.
func New(common telemetry.Common, options Options) *Link {
	l := &Link{Common: common, options: options, pool: newPool(options.DialTimeout), done: make(chan struct{})}
	l.pooled = l.transport()
	l.fresh = l.transport()
	l.fresh.DisableKeepAlives = true
	return l
}

func (l *Link) transport() *http.Transport {
	return &http.Transport{
		DialContext:            l.pool.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    l.options.IdleConnections,
		IdleConnTimeout:        l.options.IdleTimeout,
		MaxResponseHeaderBytes: l.options.MaxHeaderBytes,
	}
}

// Done is closed when the link has been closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close drops the idle connections and waits for the goroutines of the link.
// It is called once, after the last call.
func (l *Link) Close() {
	l.pooled.CloseIdleConnections()
	l.fresh.CloseIdleConnections()
	l.drains.Wait()
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
		return nil, a.fail(Malformed, err)
	}
	a.silence.listen()
	transport := l.pooled
	if call.Fresh || !call.Idempotent {
		transport = l.fresh
	}
	response, err := transport.RoundTrip(request) //nolint:bodyclose // The Answer closes it.
	if err != nil {
		return nil, a.fail(l.classify(err), err)
	}
	a.response = response
	if got := response.Header.Get(RequestIDHeader); got != call.ID {
		return nil, a.fail(Foreign, &IdentityError{Want: call.ID, Got: got})
	}
	return a, nil
}

// classify names a failure before the head of the answer.
func (*Link) classify(err error) FaultKind {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Refused
	}
	return Closed
}

// newRequest builds the HTTP request of the attempt.
func (a *Answer) newRequest() (*http.Request, error) {
	ctx := httptrace.WithClientTrace(withGate(a.ctx, a.gate), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.reused.Store(info.Reused)
			if c, ok := info.Conn.(*conn); ok {
				a.gate.adopt(c)
			}
		},
	})
	request, err := http.NewRequestWithContext(ctx, a.call.Method, "http://"+a.call.Address+a.call.Path, bytes.NewReader(a.call.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header = a.call.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	request.Header.Set(RequestIDHeader, a.call.ID)
	if !a.call.Deadline.IsZero() {
		left := max(a.call.Deadline.Sub(a.link.Clock.Now()).Milliseconds(), 0)
		request.Header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	}
	return request, nil
}
