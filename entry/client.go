package entry

import (
	"net"
	"net/http"
	"time"
)

const (
	// servicesIdleTimeout is how long a connection to the platform's services is kept.
	servicesIdleTimeout = 10 * time.Second
	// moverIdleTimeout is how long a connection for moves is kept, which serves the other
	// streams of a runner that is leaving. It is short since runners may drop idle
	// connections without notice, and a move that was reset can't be repeated.
	moverIdleTimeout = 100 * time.Millisecond
)

// newClient returns a client for the platform's services. It bounds dials and closes
// idle connections.
func newClient() *http.Client { return newClientWithIdleTimeout(servicesIdleTimeout) }

// newMoverClient returns a client for moves of streams.
func newMoverClient() *http.Client { return newClientWithIdleTimeout(moverIdleTimeout) }

func newClientWithIdleTimeout(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: outageTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: timeout,
		DisableCompression: true,
	}}
}
