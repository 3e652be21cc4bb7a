package entry

import (
	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/connlimit"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// maxCallerConnections returns how many connections callers may have: what memory and descriptors
// suffice for.
func maxCallerConnections(settings platform.Settings) int {
	return connlimit.CallersFor(buffer.ConnectionsFor(settings.MemoryBytes), settings.MaxDescriptors)
}

// maxPeerConnections returns how many connections other daemons may have.
func maxPeerConnections(settings platform.Settings) int {
	return connlimit.PeersFor(settings.MaxDescriptors)
}
