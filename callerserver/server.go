// Package callerserver serves the HTTP connections of callers. Its timeouts may change
// while connections are open, unlike those of net/http, it knows which side closed a
// connection, and a stop closes no connection on which a request is under way.
package callerserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/connlimit"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Timeouts holds the timeouts for a caller's connection. Zero means no timeout.
type Timeouts struct {
	// Header bounds the time from the first byte of a request to the end of its
	// header.
	Header time.Duration
	// Idle bounds how long a connection may be idle.
	Idle time.Duration
}

// Options configures a Server.
type Options struct {
	// MaxHeaderTime bounds the time to read a request header, and the wait for the
	// first one on a connection, whatever Timeouts returns. Zero means no bound.
	MaxHeaderTime time.Duration
	// MaxHeaderBytes bounds the size of a request header; zero stands for the default
	// of net/http.
	MaxHeaderBytes int
	// Timeouts returns the timeouts in force. It is called concurrently; nil means
	// that there are none.
	Timeouts func() Timeouts
	// HeaderLimit returns the number of bytes of names and values that a header section may have; zero
	// or nil means no limit beside MaxHeaderBytes. It is called concurrently.
	HeaderLimit func() int
	// Headers bounds the memory of all header sections; nil means no bound.
	Headers *buffer.Budget
	// MaxConnections bounds the connections that are open; zero means no bound.
	MaxConnections int
	// CallersLearnWithin is how long after a change of Timeouts callers may still go by
	// the earlier ones.
	CallersLearnWithin time.Duration
}

// Server serves the connections of callers.
type Server struct {
	common  telemetry.Common
	options Options
	handler http.Handler
	server  *http.Server
	limits  idleLimits
	// connLimit decides which connections are closed when there are too many.
	connLimit *connlimit.Limit[*connection]
	// refusals limits the log lines on refused header sections, and closings those on connections that
	// make room.
	refusals, closings *telemetry.Throttle
	// requests is the parent of the contexts of all requests. It ends, with a
	// *StoppedError as its cause, when the time for a stop is over.
	requests       context.Context
	cancelRequests context.CancelCauseFunc
	// accepting counts the listeners from which connections are accepted.
	accepting sync.WaitGroup

	mutex sync.Mutex
	// stage is guarded by mutex, as the fields below.
	stage stage
	// listeners holds the listeners that Serve accepts from.
	listeners []net.Listener
	// open holds the accepted connections that are not closed yet.
	open map[*connection]struct{}
	// left receives a value when a connection was closed.
	left chan struct{}
	// empty is closed when the server is draining and open is empty. It is nil before.
	empty chan struct{}
}

// New returns a server that passes requests to the handler.
func New(common telemetry.Common, options Options, handler http.Handler) *Server {
	if options.Timeouts == nil {
		options.Timeouts = func() Timeouts { return Timeouts{} }
	}
	if options.HeaderLimit == nil {
		options.HeaderLimit = func() int { return 0 }
	}
	s := &Server{
		common: common, options: options, handler: handler, open: make(map[*connection]struct{}),
		limits: idleLimits{learnWithin: options.CallersLearnWithin}, left: make(chan struct{}, 1),
		connLimit: connlimit.New[*connection](options.MaxConnections), refusals: telemetry.NewThrottle(refusalLogPeriod), closings: telemetry.NewThrottle(refusalLogPeriod),
	}
	s.requests, s.cancelRequests = context.WithCancelCause(context.Background())
	s.server = &http.Server{
		Handler:        http.HandlerFunc(s.serveRequest),
		MaxHeaderBytes: options.MaxHeaderBytes, ConnState: s.onState, ConnContext: connContext,
		BaseContext: func(net.Listener) context.Context { return s.requests },
	}
	return s
}

// Serve serves the connections of a listener until the server is drained or closed. It
// returns the error of the listener, or nil after a stop.
func (s *Server) Serve(listener net.Listener) error {
	s.addListener(listener)
	defer s.accepting.Done()
	err := s.server.Serve(&trackingListener{Listener: listener, server: s})
	if errors.Is(err, http.ErrServerClosed) || s.currentStage() >= draining && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) addListener(listener net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
	s.accepting.Add(1)
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() error {
	s.setStage(closed)
	return s.server.Close()
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if c := connectionOf(r.Context()); c != nil {
		c.beginRequest()
		defer c.endRequest(r.ContentLength != 0)
	}
	writer := &announcingWriter{ResponseWriter: w, server: s, request: r}
	s.handler.ServeHTTP(writer, r)
	// A handler that wrote nothing answers with an empty body.
	writer.announce(http.StatusOK)
	if c := connectionOf(r.Context()); c != nil {
		c.completeAnswer()
	}
}

// onState is the ConnState hook of net/http.
func (s *Server) onState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.awaitRequest()
	default:
		// The header has arrived, or the connection was closed.
		c.endWait()
	}
}

// trackingListener wraps the connections that it accepts.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.makeRoom() {
			return l.server.track(conn), nil
		}
		l.server.recordRoom(connlimit.Busy)
		// The caller has sent nothing that was read.
		_ = conn.Close()
	}
}

func (s *Server) track(conn net.Conn) *connection {
	c := &connection{Conn: conn, server: s}
	c.entry = s.connLimit.Enter(c)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open[c] = struct{}{}
	return c
}

func (s *Server) forget(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, c)
	s.signalEmpty()
	select {
	case s.left <- struct{}{}:
	default:
	}
}
