package upstream_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// TestNewConnectionReplacesIdleOneAtLimit guards against a request that needs a new
// connection being refused because idle connections use up the limit.
func TestNewConnectionReplacesIdleOneAtLimit(t *testing.T) {
	r := newRig(t, upstream.DefaultOptions(), okAnswer)
	for range 3 {
		err := r.send(func(request *upstream.Request) { request.NewConnection, request.MaxConnections = true, 1 })
		r.c.Check(err, qt.IsNil)
	}
	r.c.Check(r.connections.Load(), qt.Equals, int64(3))
	r.c.Check(r.pool.CloseIdleTo(r.address), qt.Equals, 1)
}
