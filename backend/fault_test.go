package backend_test

import (
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/backend"
)

// TestTimeoutOfConnectionIsNoCrash guards against harmless requests that are refused as
// crashing ones because the connections that they used timed out.
func TestTimeoutOfConnectionIsNoCrash(t *testing.T) {
	for _, scenario := range []struct {
		cause   error
		isCrash bool
	}{
		{&net.OpError{Op: "read", Err: syscall.ETIMEDOUT}, false},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, true},
	} {
		for _, kind := range []backend.FaultKind{backend.Closed, backend.Truncated} {
			c := qt.New(t)
			fault := &backend.FaultError{Kind: kind, MaybeWritten: true, Cause: scenario.cause}
			c.Check(fault.IsCrash(), qt.Equals, scenario.isCrash)
		}
	}
}
