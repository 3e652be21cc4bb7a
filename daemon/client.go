package daemon

import "net/http"

// newClient returns an HTTP client with its own connection pool.
func newClient() *http.Client {
	return &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
}
