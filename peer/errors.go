package peer

import "fmt"

// ListenError says that the peer address could not be bound.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for peers at %s: %v", e.Address, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *ListenError) Unwrap() error { return e.Cause }

// UnknownPeerError says that the roster lists no daemon of that name.
type UnknownPeerError struct {
	Peer string
}

// Error implements error.
func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("no daemon is listed at %s", e.Peer)
}

// CallError says that a call to a peer failed. The peer may have received it.
type CallError struct {
	Peer string
	// Address is the peer address that was called.
	Address string
	// Call is the name of the call.
	Call  string
	Cause error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s at peer %s (%s): %v", e.Call, e.Peer, e.Address, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *CallError) Unwrap() error { return e.Cause }

// MisdirectedError says that another VM than the wanted one answers at an
// address. The VM list is out of date.
type MisdirectedError struct {
	// Wanted and Found are names of VMs.
	Wanted string
	Found  string
}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("peer %s answers in place of %s", e.Found, e.Wanted)
}

// RestartedError says that another process than the wanted one runs on a VM.
// The wanted one has ended.
type RestartedError struct {
	Peer string
	// Wanted and Found are incarnations.
	Wanted string
	Found  string
}

// Error implements error.
func (e *RestartedError) Error() string {
	return fmt.Sprintf("peer %s has incarnation %s, not %s", e.Peer, e.Found, e.Wanted)
}

// NoConfigurationError says that no peer could be reached that has a
// configuration.
type NoConfigurationError struct {
	// Asked is the number of peers that were asked.
	Asked int
}

// Error implements error.
func (e *NoConfigurationError) Error() string {
	return fmt.Sprintf("none of %d peers has a configuration", e.Asked)
}
