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

// newClient returns a client for the platform's services. It bounds dials and the bytes of
// responses, and closes idle connections.
func (e *Entry) newClient() *http.Client {
	dialer := &net.Dialer{Timeout: outageTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
		DisableCompression: true,
	}
	return &http.Client{Transport: platform.NewBoundedTransport(transport, e.budget)}
}
