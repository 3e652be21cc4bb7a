package connlimit

const (
	// fileDescriptors is the number of descriptors that are reserved for files.
	fileDescriptors = 200
	// callerDivisor and peerDivisor divide the other descriptors into those of callers and of other
	// daemons. The rest is for runners, the store and the small ports.
	callerDivisor = 3
	peerDivisor   = 8
	// minConnections is the number of connections of callers, and of daemons, that are allowed in any
	// case.
	minConnections = 16
	// peersWithoutDescriptors is the number of connections of other daemons while the descriptors are
	// unknown. Groups have up to 300 daemons, and each keeps up to two connections to another one.
	peersWithoutDescriptors = 1024
)

// CallersFor returns how many connections callers may have in a process with so many descriptors; zero
// means unknown. byMemory is the number that its memory suffices for.
func CallersFor(byMemory, descriptors int) int {
	if descriptors <= 0 {
		return byMemory
	}
	return max(min(byMemory, sockets(descriptors)/callerDivisor), minConnections)
}

// PeersFor returns how many connections other daemons may have in a process with so many descriptors;
// zero means unknown.
func PeersFor(descriptors int) int {
	if descriptors <= 0 {
		return peersWithoutDescriptors
	}
	return max(sockets(descriptors)/peerDivisor, minConnections)
}

// sockets returns how many descriptors are left for sockets.
func sockets(descriptors int) int { return descriptors - fileDescriptors }
