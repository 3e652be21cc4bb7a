package peer

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
)

// Options are the settings of a Mesh.
type Options struct {
	// Identity names this process.
	Identity gossip.Identity
	// Address is the host:port that the mesh listens on.
	Address string
	// Interval is the time between two exchanges.
	Interval time.Duration
	// DialTimeout bounds how long a connection takes to open.
	DialTimeout time.Duration
	// CallTimeout bounds an exchange, a notice and the fetch of a
	// configuration. A connection that is silent for that long is closed.
	CallTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
	// Seed determines the choice of peers.
	Seed uint64
}

// DefaultOptions returns the settings for a daemon that listens on address.
func DefaultOptions(identity gossip.Identity, address string, seed uint64) Options {
	return Options{
		Identity:    identity,
		Address:     address,
		Interval:    gossip.Interval,
		DialTimeout: 300 * time.Millisecond,
		CallTimeout: time.Second,
		IdleTimeout: 2 * time.Minute,
		Seed:        seed,
	}
}
