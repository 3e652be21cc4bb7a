// Package hostinghttp holds HTTP clients for the services of the hosting
// platform and for the control interface of model engines.
//
// The clients distinguish a request that had no effect from one whose response was
// lost: the first fails with a *hosting.UnavailableError, the second with a
// *hosting.UncertainError. Requests that change something are written to the
// network at most once per call.
package hostinghttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// maxResponseBytes bounds the response body that a client reads into memory.
const maxResponseBytes = 64 << 20

// defaultTimeout bounds the time until a response is complete, beyond the time that
// a long poll waits. Without it, an unresponsive connection would block its caller
// forever.
const defaultTimeout = 5 * time.Second

// client sends JSON requests to one service.
type client struct {
	// service is the name of the service in errors.
	service string
	// base is the URL without a trailing slash.
	base string
	http *http.Client
	// timeout bounds a request, beyond the time that a long poll waits.
	timeout time.Duration
}

// newClient returns a client that follows no redirect, because a followed
// redirect may send the body of a request a second time.
func newClient(service, base string, httpClient *http.Client) client {
	withoutRedirect := *httpClient
	withoutRedirect.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return client{
		service: service,
		base:    strings.TrimSuffix(base, "/"),
		http:    &withoutRedirect,
		timeout: defaultTimeout,
	}
}

func (c client) withTimeout(timeout time.Duration) client {
	c.timeout = timeout
	return c
}

// reply is a complete response of a service.
type reply struct {
	status int
	body   []byte
	// etag is the entity tag of the body, or empty.
	etag string
	// mutating is true when the request may have had an effect.
	mutating bool
}

// get sends a GET request, which the service may answer as a long poll of up to wait.
// The request has no effect, so every failure is a *hosting.UnavailableError.
func (c client) get(ctx context.Context, path string, wait time.Duration) (reply, error) {
	return c.getIfNewer(ctx, path, wait, "")
}

// getIfNewer is a conditional get: when etag is still current, the response has the
// status 304 and no body.
func (c client) getIfNewer(ctx context.Context, path string, wait time.Duration, etag string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return reply{}, c.unavailable(err)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.exchange(request)
	if err != nil {
		return reply{}, c.unavailable(err)
	}
	return response, nil
}

// post sends a POST request that may have an effect. The request is written at most
// once: without GetBody, net/http does not resend it on another connection.
func (c client) post(ctx context.Context, path string, message any) (reply, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return reply{}, c.unavailable(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, c.unavailable(err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.exchange(request)
	switch {
	case err == nil:
		response.mutating = true
		return response, nil
	case connected.Load():
		return reply{}, &hosting.UncertainError{Service: c.service, Cause: err}
	default:
		return reply{}, c.unavailable(err)
	}
}

// exchange sends the request and reads the whole response.
func (c client) exchange(request *http.Request) (reply, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return reply{}, err
	}
	return reply{status: response.StatusCode, body: body, etag: response.Header.Get("ETag")}, nil
}

func (c client) unavailable(cause error) error {
	return &hosting.UnavailableError{Service: c.service, Cause: cause}
}

// minStatus and maxStatus bound the status of a response (RFC 9110, section 15). Package net/http
// returns other numbers of three characters as well.
const minStatus, maxStatus = 200, 599

// statusError turns the status of a response into an error. A service that responds
// with a status above 299 has not carried out the request, except for the server errors
// that gateways and failing handlers produce, and for statuses that no response has.
func (c client) statusError(response reply) error {
	cause := &StatusError{Status: response.status}
	switch status := response.status; {
	case status == http.StatusTooManyRequests:
		return &hosting.ThrottledError{Service: c.service}
	case status == http.StatusInternalServerError, status == http.StatusBadGateway, status == http.StatusGatewayTimeout,
		status < minStatus, status > maxStatus:
		return c.indeterminate(response, cause)
	default:
		return c.unavailable(cause)
	}
}

// indeterminate returns the error for a response that does not show whether the
// request took effect.
func (c client) indeterminate(response reply, cause error) error {
	if response.mutating {
		return &hosting.UncertainError{Service: c.service, Cause: cause}
	}
	return c.unavailable(cause)
}

// decode decodes the body of a successful response.
func decode[T any](c client, response reply) (T, error) {
	var message T
	if response.status < 200 || response.status > 299 {
		return message, c.statusError(response)
	}
	if err := json.Unmarshal(response.body, &message); err != nil {
		return message, c.indeterminate(response, err)
	}
	return message, nil
}
