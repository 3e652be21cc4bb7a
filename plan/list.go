package plan

// ListName names one of the two lists.
type ListName string

// The two lists.
const (
	ListPlans      ListName = "Plans"
	ListAllowances ListName = "Allowances"
)

// Customer is a caller with its own keys. The pair of Workspace and Name is unique in
// the list of plans.
type Customer struct {
	Name      string
	Workspace string `json:",omitempty"`
	// KeyHashes are the SHA-256 sums of the customer's bearer keys in
	// hexadecimal. No two customers share one.
	KeyHashes []string
}

// Plan is the level of service that a group of customers has bought.
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
	// Deadline bounds the duration of a request; zero means the daemon's default.
	Deadline Duration
	// RequestsPerSecond limits the plan across all daemons; zero means no limit.
	RequestsPerSecond float64
	// TokensPerSecond limits the plan across all daemons; zero means no limit.
	TokensPerSecond float64
	// CostWeight is the weight of the price in routing scores. It is not negative.
	CostWeight float64
	// RecomputeWeight is the weight of recomputed tokens in routing scores. It is not
	// negative.
	RecomputeWeight float64
	// IdempotentPaths are path prefixes of plain services whose calls may be
	// retried whatever their method.
	IdempotentPaths []string `json:",omitempty"`
}

// Allowance defines the resources that a plan may use.
type Allowance struct {
	// Plan is the name of the plan. It is unique in the list. The plan need not
	// be published yet.
	Plan string
	// Zones are the availability zones that may be used; none allows all.
	Zones []string `json:",omitempty"`
	// Classes are the VM classes that may be used; none allows all.
	Classes []string `json:",omitempty"`
	// Models are the models that may be called; none allows no model.
	Models []string `json:",omitempty"`
	// Services are the plain services that may be called; none allows no service.
	Services []string `json:",omitempty"`
	// Priority orders requests under load; a higher one is served first.
	Priority int
}
