// Package intake reads the bodies of requests within a bound on the memory of all bodies.
package intake

import (
	"errors"
	"io"
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/buffer"
)

// Request is a body to read.
type Request struct {
	Content io.ReadCloser
	// Length is the length that was announced, or negative.
	Length int64
	// LimitBytes bounds the body; zero means no limit.
	LimitBytes int64
}

// Read reads a body and counts it: as a whole before it is read if its length is announced, and otherwise
// as its buffer grows. It fails with a *http.MaxBytesError if the body is over the limit, and with the
// errors of buffer.Body if it does not fit or was dropped.
func Read(r Request, held *buffer.Body) ([]byte, error) {
	switch {
	case r.LimitBytes > 0 && r.Length > r.LimitBytes:
		return nil, &http.MaxBytesError{Limit: r.LimitBytes}
	case r.Length < 0 && r.LimitBytes > 0:
		r.Content = http.MaxBytesReader(nil, r.Content, r.LimitBytes)
		return readChunks(r, held)
	case r.Length < 0:
		return readChunks(r, held)
	}
	if err := held.Resize(int(r.Length)); err != nil {
		return nil, err
	}
	content := make([]byte, r.Length)
	_, err := io.ReadFull(r.Content, content)
	return content, err
}

// firstChunkBytes is the initial capacity of the buffer for a body whose length is not announced.
const firstChunkBytes = 4 << 10

// readChunks reads a body whose length is not announced. It counts its buffer as that grows.
func readChunks(r Request, held *buffer.Body) ([]byte, error) {
	content := make([]byte, 0, firstChunkBytes)
	for {
		if len(content) == cap(content) {
			grown, err := grow(content, r.LimitBytes, held)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		count, err := r.Content.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a body in a buffer of twice the size, or of the limit and the byte that shows its end.
// Both buffers count while it is copied.
func grow(content []byte, limitBytes int64, held *buffer.Body) ([]byte, error) {
	size := 2 * cap(content)
	if limitBytes >= int64(cap(content)) {
		size = min(size, int(limitBytes)+1)
	}
	if err := held.Resize(cap(content) + size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	return grown, held.Resize(size)
}
