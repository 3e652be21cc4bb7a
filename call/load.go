package call

// Load is what a runner says of its load at one moment.
type Load struct {
	// Running and Waiting count its requests, and Slots those that it runs at once. All are zero if
	// it does not say.
	Running, Waiting, Slots int
	// Pace is the time that work takes on its VM at that moment, relative to the usual, or zero if it
	// does not say.
	Pace float64
}

// IsKnown reports whether the runner has said its load.
func (l Load) IsKnown() bool { return l.Slots > 0 }
