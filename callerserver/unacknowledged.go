package callerserver

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/socket"
)

// UnacknowledgedBytes returns how many bytes of the answer to a request were left to the kernel and have
// not reached the caller. It shows the progress of a caller while a write waits for it: the kernel lets
// that go on only once a third of its buffer is free.
func UnacknowledgedBytes(ctx context.Context) (count int, isKnown bool) {
	c := connectionOf(ctx)
	if c == nil {
		return 0, false
	}
	return socket.Unacknowledged(c.Conn)
}
