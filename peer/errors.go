package peer

import "fmt"

// ListenError is returned when the peer address cannot be bound.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for peers at %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// UnknownPeerError is returned when the roster lists no daemon of that name.
type UnknownPeerError struct {
	Peer string
}

// Error implements error.
func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("no daemon is listed at %s", e.Peer)
}

// CallError is returned when a call to a peer fails. The peer may have received it.
type CallError struct {
	Peer string
	// Address is the peer address that was called.
	Address string
	// Call is the name of the RPC method.
	Call  string
	Cause error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s at peer %s (%s): %v", e.Call, e.Peer, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// MisdirectedError is returned when a VM other than the wanted one answers at its
// address, because the VM list is out of date.
type MisdirectedError struct {
	// Wanted and Found are names of VMs.
	Wanted string
	Found  string
}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("peer %s answers in place of %s", e.Found, e.Wanted)
}

// RestartedError is returned when a VM runs another process than the wanted one,
// which has ended.
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

// NoConfigurationError is returned when none of the peers that were asked has
// answered with a configuration.
type NoConfigurationError struct {
	// Asked is the number of peers that were asked.
	Asked int
}

// Error implements error.
func (e *NoConfigurationError) Error() string {
	return fmt.Sprintf("none of %d peers has a configuration", e.Asked)
}
