package peer

import (
	"net"
	"time"

	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
)

// Options are the settings of a Mesh.
type Options struct {
	// Identity identifies this process.
	Identity gossip.Identity
	// Address is the host:port that the mesh listens on.
	Address string
	// Interval is the time between two gossip rounds.
	Interval time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// CallTimeout bounds an exchange, a notice and the fetch of a
	// configuration. A call that takes longer is cancelled and its connection
	// closed. It bounds every write to a connection, too.
	CallTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
	// Seed seeds the random choice of peers.
	Seed uint64
	// Limit wraps the listener, to bound its connections and messages; nil does not.
	Limit func(net.Listener) net.Listener
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
