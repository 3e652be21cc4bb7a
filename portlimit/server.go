package portlimit

import (
	"net"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

const (
	// serverConnections bounds the connections to an HTTP server of few clients.
	serverConnections = 16
	// serverHeaderBytes bounds the header sections there, beside what net/http adds, and serverTimeout
	// the time to read a request and the time between two.
	serverHeaderBytes = 4 << 10
	serverTimeout     = 10 * time.Second
)

// NewServer returns an HTTP server for a port of few clients.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadTimeout: serverTimeout, IdleTimeout: serverTimeout, MaxHeaderBytes: serverHeaderBytes}
}

// ForServer bounds the connections of a listener of such a server. name names the port in counters and log
// lines.
func ForServer(common telemetry.Common, name string, listener net.Listener) *Listener {
	return New(common, Options{Name: name, MaxConnections: serverConnections}, listener)
}
