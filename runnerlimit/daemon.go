package runnerlimit

// Daemon identifies one start of a daemon.
type Daemon struct {
	// Name stays the same when the daemon starts again, and Incarnation does not.
	Name, Incarnation string
	// Zone is its availability zone.
	Zone string
}
