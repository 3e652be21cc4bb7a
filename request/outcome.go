package request

// Outcome is the result of a request as far as the daemon can prove it.
type Outcome int

const (
	// Pending means that the request has not ended.
	Pending Outcome = iota
	// Answered means that the caller gets a complete response of a backend
	// server.
	Answered
	// NotRun means that nothing was written to any backend server under the
	// request's key, by this daemon or another.
	NotRun
	// Unknown means that a backend server may have run the request.
	Unknown
)

var outcomeNames = [...]string{"Pending", "Answered", "NotRun", "Unknown"}

// String returns the name that callers see in responses.
func (o Outcome) String() string { return outcomeNames[o] }
