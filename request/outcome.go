package request

// Outcome says how a request ended.
type Outcome int

const (
	// Pending means that the request has not ended.
	Pending Outcome = iota
	// Answered means that the caller gets a whole answer of a backend server.
	Answered
	// NotRun means that nothing was written to any backend server under the
	// request's key, here or at another daemon.
	NotRun
	// Unknown means that a backend server may have run the request.
	Unknown
)

var outcomeNames = [...]string{"Pending", "Answered", "NotRun", "Unknown"}

// String returns the name that callers see.
func (o Outcome) String() string { return outcomeNames[o] }
