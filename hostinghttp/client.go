// Package hostinghttp holds HTTP clients for the services of the hosting
// platform and for the control interface of model engines.
//
// The clients tell a request that had no effect from one whose answer was
// lost: the first is a *hosting.UnavailableError, the second a
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

// maxResponseBytes bounds the answers that a client reads into memory.
const maxResponseBytes = 64 << 20

// defaultTimeout bounds the time until an answer is complete, beyond the time
// that a long poll waits. Without it, a connection that has gone silent would
// hold its caller for good.
const defaultTimeout = 5 * time.Second

// client sends JSON requests to one service.
type client struct {
	// service is the name that errors carry.
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

// reply is a whole answer of a service.
type reply struct {
	status int
	body   []byte
	// tag is the version of the body, or empty.
	tag string
	// changes is true when the request may have taken effect.
	changes bool
}

// read sends a GET request that the service may hold for wait. It has no
// effect, so that every failure is an *hosting.UnavailableError.
func (c client) read(ctx context.Context, path string, wait time.Duration) (reply, error) {
	return c.readNewer(ctx, path, wait, "")
}

// readNewer is read for a body of which the caller has the version of a tag.
// When that is the current one, the answer has the status 304 and no body.
func (c client) readNewer(ctx context.Context, path string, wait time.Duration, tag string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return reply{}, c.unavailable(err)
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	answer, err := c.exchange(request)
	if err != nil {
		return reply{}, c.unavailable(err)
	}
	return answer, nil
}

// change sends a POST request that may take effect. The request is written at
// most once: it has no GetBody, without which net/http does not repeat it on
// another connection.
func (c client) change(ctx context.Context, path string, message any) (reply, error) {
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
	answer, err := c.exchange(request)
	switch {
	case err == nil:
		answer.changes = true
		return answer, nil
	case connected.Load():
		return reply{}, &hosting.UncertainError{Service: c.service, Cause: err}
	default:
		return reply{}, c.unavailable(err)
	}
}

// exchange sends the request and reads the whole answer.
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
	return reply{status: response.StatusCode, body: body, tag: response.Header.Get("ETag")}, nil
}

func (c client) unavailable(cause error) error {
	return &hosting.UnavailableError{Service: c.service, Cause: cause}
}

// refusal turns the status of an answer into an error. A service that answers
// with a status below 200 or above 299 has not carried out the request, except
// for the server errors that gateways and failing handlers produce.
func (c client) refusal(answer reply) error {
	cause := &StatusError{Status: answer.status}
	switch answer.status {
	case http.StatusTooManyRequests:
		return &hosting.ThrottledError{Service: c.service}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return c.lost(answer, cause)
	default:
		return c.unavailable(cause)
	}
}

// lost returns the error for an answer that does not tell the result.
func (c client) lost(answer reply, cause error) error {
	if answer.changes {
		return &hosting.UncertainError{Service: c.service, Cause: cause}
	}
	return c.unavailable(cause)
}

// decode reads the body of a successful answer.
func decode[T any](c client, answer reply) (T, error) {
	var message T
	if answer.status < 200 || answer.status > 299 {
		return message, c.refusal(answer)
	}
	if err := json.Unmarshal(answer.body, &message); err != nil {
		return message, c.lost(answer, err)
	}
	return message, nil
}
