package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// caller sends requests on kept connections.
type caller struct {
	record *record
	client *http.Client
	// sent counts all requests of the process, for their IDs.
	sent *atomic.Int64
}

func newCaller(r *record) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}
	return &caller{record: r, client: &http.Client{Transport: transport}, sent: &atomic.Int64{}}
}

// message is one request of a caller.
type message struct {
	method, path string
	body         []byte
	deadline     time.Duration
}

// result is what a caller got.
type result struct {
	id     string
	status int
	body   []byte
	// isKept is true if the connection had carried an earlier request.
	isKept bool
	// err is why there is no complete answer, or nil.
	err error
}

// send sends a request to a daemon and waits for its answer.
func (c *caller) send(d *daemon, m message) result {
	id := fmt.Sprintf("%016x", 0x5a00_0000+c.sent.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), m.deadline)
	defer cancel()
	isKept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isKept = info.Reused }})
	request, err := http.NewRequestWithContext(ctx, m.method, "http://"+d.callers+m.path, bytes.NewReader(m.body))
	if err != nil {
		return result{id: id, err: err}
	}
	// net/http must not send a request once more by itself.
	request.GetBody = nil
	request.Host = host
	request.Header.Set(standin.HeaderCallID, id)
	request.Header.Set(standin.HeaderAPIKey, key)
	request.Header.Set(standin.HeaderDeadline, strconv.FormatInt(m.deadline.Milliseconds(), 10))
	c.record.add("%s %s %s (%d bytes) is sent to %s", id, m.method, m.path, len(m.body), d.name)
	response, err := c.client.Do(request)
	if err != nil {
		c.record.add("%s gets no answer: %v", id, err)
		return result{id: id, isKept: isKept, err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.record.add("%s gets %d, %d bytes, signature %q, %v", id, response.StatusCode, len(body), response.Header.Get(standin.HeaderSignature), err)
	return result{id: id, status: response.StatusCode, body: body, isKept: isKept, err: err}
}
