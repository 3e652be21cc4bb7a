package upstream

import (
	"net/http"
	"time"
)

const (
	// protocolName begins each answer.
	protocolName = "HTTP/1."
	// statusDigits is the length of a status in a status line.
	statusDigits = 3
	// maxStatus is the last status of the last class (RFC 9110, section 15).
	maxStatus = 599
	// maxInterimAnswers bounds the interim answers (1xx) before an answer.
	maxInterimAnswers = 8
	// maxHeaderTime bounds the time from the first byte of a header to its end. A runner
	// sends a header at once; the network or a pause may take about a second.
	maxHeaderTime = 1500 * time.Millisecond
)

// readHeader reads the header of the final answer. Interim answers are skipped.
func (p *Pool) readHeader(c *connection, method string) (*http.Response, error) {
	c.headerBytesLeft = p.options.MaxHeaderBytes
	defer func() { c.headerBytesLeft = noHeader }()
	for range maxInterimAnswers + 1 {
		response, err := p.readOneHeader(c, method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, &InterimAnswersError{Limit: maxInterimAnswers}
}

// readOneHeader reads the header of an interim or final answer. It waits without a limit
// for the first byte, since the runner may be working on the request.
func (p *Pool) readOneHeader(c *connection, method string) (*http.Response, error) {
	if c.reader.Buffered() == 0 {
		if err := c.bufferMore(); err != nil {
			return nil, err
		}
	}
	head, err := p.awaitHead(c)
	if err != nil {
		return nil, err
	}
	// The parser takes a line that breaks off for a whole one, and removes fields.
	if err := checkHead(head); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil && !isAnswerStatus(response.StatusCode) {
		return nil, &ProtocolError{Begin: response.Proto + " " + response.Status[:statusDigits]}
	}
	return response, err
}

// isAnswerStatus reports whether an interim or final answer can have a status. No request asks for
// another protocol, so that none is switched to. The parser accepts any three characters that are
// a number.
func isAnswerStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// awaitHead returns the next head, which has begun, without reading it. Most heads arrive at
// once and need no timer, which would take processor time for each answer.
func (p *Pool) awaitHead(c *connection) ([]byte, error) {
	head, err := c.bufferedHead()
	if err != nil || len(head) > 0 {
		return head, err
	}
	timer := p.common.Clock.AfterFunc(maxHeaderTime, func() { _ = c.raw.Close() })
	head, err = c.awaitHead()
	if !timer.Stop() {
		return nil, &HeaderTimeoutError{Timeout: maxHeaderTime}
	}
	return head, err
}
