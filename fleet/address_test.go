package fleet

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReturnedAddressIsReserved guards against two processes that get the same address
// before one of them listens there.
func TestReturnedAddressIsReserved(t *testing.T) {
	c := qt.New(t)
	address, err := FreeAddress()
	c.Assert(err, qt.IsNil)
	_, port, err := net.SplitHostPort(address)
	c.Assert(err, qt.IsNil)
	c.Check(reserve(port), qt.IsFalse)
}
