package plan

// ListName names one of the two lists.
type ListName string

// The two lists.
const (
	ListPlans      ListName = "Plans"
	ListAllowances ListName = "Allowances"
)

// Customer is a caller with its own keys. The pair of Workspace and Name is
// unique in the list of plans.
type Customer struct {
	Name      string
	Workspace string `json:",omitempty"`
	// KeyHashes are the SHA-256 sums of the customer's bearer keys in
	// hexadecimal. No two customers share one.
	KeyHashes []string
}

// Plan is what a group of customers has bought.
type Plan struct {
	// Name is unique in the list.
	Name      string
	Customers []Customer
	// FirstToken is the target for the time to the first token; zero means
	// that the plan has no such target.
	FirstToken Duration
	// BetweenTokens is the target for the time between two tokens; zero
	// means that the plan has no such target.
	BetweenTokens Duration
	// Deadline bounds the whole request; zero means the daemon's default.
	Deadline Duration
	// RequestsPerSecond limits the plan over all daemons; zero is no limit.
	RequestsPerSecond float64
	// TokensPerSecond limits the plan over all daemons; zero is no limit.
	TokensPerSecond float64
	// CostWeight is the weight of the price of the work, never negative.
	CostWeight float64
	// RecomputeWeight is the weight of recomputed tokens, never negative.
	RecomputeWeight float64
	// IdempotentPaths are path prefixes of plain services whose calls may
	// be repeated whatever their method is.
	IdempotentPaths []string `json:",omitempty"`
}

// Allowance is what a plan may use.
type Allowance struct {
	// Plan is the name of the plan and unique in the list. The plan need
	// not be published yet.
	Plan string
	// Zones are the availability zones that may be used; none allows all.
	Zones []string `json:",omitempty"`
	// Classes are the VM classes that may be used; none allows all.
	Classes []string `json:",omitempty"`
	// Models are the models that may be called; none allows no model.
	Models []string `json:",omitempty"`
	// Services are the plain services that may be called; none allows none.
	Services []string `json:",omitempty"`
	// Priority orders requests under load; a higher one is served first.
	Priority int
}
