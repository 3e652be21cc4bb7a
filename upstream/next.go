package upstream

import "fmt"

// UnskippableError means that an answer to another request has no end after which the next
// answer could begin.
type UnskippableError struct{ Status int }

// Error implements error.
func (e *UnskippableError) Error() string {
	return fmt.Sprintf("the end of an answer with status %d to another request can't be found", e.Status)
}

// Next skips an answer that does not belong to the request, and reads the header of the one that
// follows on the connection. The connection carries no further request. Next fails with an
// *InvalidAnswerError; the answer must then be closed.
func (a *Answer) Next() error {
	a.hasSkipped = true
	if err := a.skip(); err != nil {
		return a.connection.invalidAnswer(err)
	}
	response, err := a.pool.readHeader(a.connection, a.response.Request.Method) //nolint:bodyclose // Close closes the connection.
	if err != nil {
		return a.connection.invalidAnswer(err)
	}
	a.response, a.readToEnd = response, false
	a.Status, a.Header = response.StatusCode, response.Header
	return nil
}

// skip reads the body, within the bounds of Discard. After a HEAD request, an answer to it could
// be taken for one with a body.
func (a *Answer) skip() error {
	if !a.IsDelimited() || a.connection.hasCarriedHead {
		return &UnskippableError{Status: a.Status}
	}
	timer := a.pool.common.Clock.AfterFunc(maxDiscardTime, func() { _ = a.connection.raw.Close() })
	a.readRest()
	if !timer.Stop() || !a.readToEnd {
		return &UnskippableError{Status: a.Status}
	}
	return nil
}
