package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// upstreamOptions returns the options of the connections to runners.
func upstreamOptions(budget *buffer.Budget) upstream.Options {
	options := upstream.DefaultOptions()
	options.Budget = budget
	return options
}

const (
	// servicesIdleTimeout is how long a connection to the platform's services is kept.
	servicesIdleTimeout = 10 * time.Second
	// moverIdleTimeout is how long a connection for moves is kept, which serves the other
	// streams of a runner that is leaving. It is short since runners may drop idle
	// connections without notice, and a move that was reset can't be repeated.
	moverIdleTimeout = 100 * time.Millisecond
)

// newClient returns a client for the platform's services.
func newClient(budget *buffer.Budget) *http.Client {
	return newClientWithIdleTimeout(servicesIdleTimeout, budget)
}

// newMoverClient returns a client for moves of streams.
func newMoverClient(budget *buffer.Budget) *http.Client {
	return newClientWithIdleTimeout(moverIdleTimeout, budget)
}

// newClientWithIdleTimeout returns a client that bounds dials and the bytes of responses,
// and closes idle connections.
func newClientWithIdleTimeout(timeout time.Duration, budget *buffer.Budget) *http.Client {
	dialer := &net.Dialer{Timeout: outageTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: timeout,
		DisableCompression: true,
	}
	return &http.Client{Transport: platform.NewBoundedTransport(transport, budget)}
}
