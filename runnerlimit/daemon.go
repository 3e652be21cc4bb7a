package runnerlimit

// Daemon identifies one start of a daemon.
type Daemon struct {
	Name, Zone, Incarnation string
}
