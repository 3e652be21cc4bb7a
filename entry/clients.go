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

// idleTimeout is how long a connection to the platform's services is kept.
const idleTimeout = 10 * time.Second

// maxHeadBytes bounds the head of a response, which does not count against the budget.
const maxHeadBytes = 64 << 10

// newClient returns a client that bounds dials and the bytes of responses, and closes idle
// connections.
func newClient(budget *buffer.Budget) *http.Client {
	dialer := &net.Dialer{Timeout: outageTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &http.Client{Transport: platform.NewBoundedTransport(transport, budget)}
}
