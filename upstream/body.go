package upstream

import (
	"errors"
	"io"
	"net/http"
)

// minBodyBuffer is the initial capacity of the buffer for a body, in bytes.
const minBodyBuffer = 4 << 10

// ReadAll returns the whole body. The body counts against the budget until Release. Its
// errors are *InvalidAnswerError.
func (a *Answer) ReadAll() ([]byte, error) {
	body, err := a.readBody()
	if failure := a.account.Settle(); failure != nil {
		err = failure
	}
	if err != nil {
		return nil, a.connection.invalidAnswer(err)
	}
	a.holdsBody = true
	return body, nil
}

// Release stops counting the body that ReadAll has returned.
func (a *Answer) Release() {
	if a.holdsBody {
		// A complete body is not failed.
		_ = a.account.Close()
	}
}

// Stall tells that the caller takes nothing of the body that ReadAll has returned. Until Resume, the
// delivery of the body may be ended for the sake of other answers by a call of cut.
func (a *Answer) Stall(cut func()) { a.account.Stall(cut) }

// Resume tells that the caller goes on.
func (a *Answer) Resume() { a.account.Resume() }

// ResizeBuffer counts the bytes that the caller buffers of a body that it reads by Read. It
// returns a *buffer.ExhaustedError if the answer holds too many; the answer must then be
// closed.
func (a *Answer) ResizeBuffer(bytes int) error { return a.account.Resize(bytes) }

// readBody reads the body into a buffer that grows with what has arrived. It does not trust
// the length that the header announces.
func (a *Answer) readBody() ([]byte, error) {
	if limit := a.pool.options.MaxBodyBytes; a.response.ContentLength > int64(limit) {
		return nil, &AnswerTooLargeError{Limit: limit}
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := a.grow(body)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		count, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if errors.Is(err, io.EOF) {
			return body, a.checkEnd(len(body))
		}
		if err != nil {
			return nil, err
		}
	}
}

// checkEnd fails if a body that has ended is not whole. The end of the connection before the
// first byte of an unframed body is that of a runner that has crashed: a sound one that sends no
// body says so by a length. An error has its status to tell, with or without a body.
func (a *Answer) checkEnd(length int) error {
	isSuccess := a.Status < http.StatusMultipleChoices
	hasContent := a.Status != http.StatusResetContent
	if length == 0 && isSuccess && hasContent && !a.IsDelimited() {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// grow returns the body in a buffer with more room. One byte more than the body needs shows
// its end, or that it is too large.
func (a *Answer) grow(body []byte) ([]byte, error) {
	limit := a.pool.options.MaxBodyBytes
	if len(body) > limit {
		return nil, &AnswerTooLargeError{Limit: limit}
	}
	size := min(max(2*cap(body), minBodyBuffer), limit+1)
	if length := a.response.ContentLength; length >= 0 {
		size = min(size, int(length)+1)
	}
	if err := a.account.Resize(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}
