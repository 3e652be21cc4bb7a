package daemon

import "net/http"

// newClient returns an HTTP client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
}
