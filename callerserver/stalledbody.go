package callerserver

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/connlimit"
)

// StallBody tells that the caller of a request does not go on with its body. Until ResumeBody, cut is
// called if the connection has to make room for others.
func StallBody(ctx context.Context, cut func()) {
	if c := connectionOf(ctx); c != nil {
		c.setCut(cut, connlimit.Stalled)
	}
}

// ResumeBody tells that the caller goes on.
func ResumeBody(ctx context.Context) {
	if c := connectionOf(ctx); c != nil {
		c.setCut(nil, connlimit.Busy)
	}
}

// setCut sets what ends the reading of the body, and the rank of the connection.
func (c *connection) setCut(cut func(), rank connlimit.Rank) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut = cut
	c.setRank(rank)
}

// cutBody ends the reading of a body that has stalled, or that was not read before the answer.
func (c *connection) cutBody() {
	c.mutex.Lock()
	cut := c.cut
	if c.phase == ending {
		c.requestClose(bodyLate)
		cut = nil
	}
	c.mutex.Unlock()
	if cut != nil {
		cut()
	}
}
