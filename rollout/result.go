package rollout

// Verdict is what the evidence says of a version.
type Verdict uint8

// The verdicts.
const (
	// Undecided means that more responses are needed.
	Undecided Verdict = iota
	// Good means that the target is no worse than the other versions.
	Good
	// Bad means that the target fails more often or is slower than the other versions.
	Bad
)

// String returns the name of the verdict for log lines.
func (v Verdict) String() string { return [...]string{"Undecided", "Good", "Bad"}[min(v, Bad)] }

// Result is a verdict with the group of cells and the figures behind it.
type Result struct {
	Verdict Verdict
	// Test is the kind of evidence that decided, or that is missing.
	Test Test
	Rule Rule
	// Route is the route of the group, unless the group is AllRoutes. OnlyLoaded is true for a
	// group that holds only responses of runners above half of their slots.
	Route                 string
	AllRoutes, OnlyLoaded bool
	// Evidence is the logarithm of the likelihood of a bad version relative to a good one.
	Evidence float64
	// Target and Old are the figures of the group.
	Target, Old Share
}

// Rule is what led to a verdict.
type Rule string

// The rules.
const (
	// RuleTrial is the evidence of all responses of the trial.
	RuleTrial Rule = "Trial"
	// RuleRecent is the evidence of the latest responses.
	RuleRecent Rule = "Recent"
	// RuleLimit is that there are so many bad responses that there is no time for more evidence.
	RuleLimit Rule = "Limit"
)

// Test is a kind of comparison.
type Test string

// The tests.
const (
	TestFailures Test = "Failures"
	TestTimes    Test = "Times"
)

// Share is a number of responses and how many of them were worse than usual: failed, or slower
// than the threshold of the test.
type Share struct{ Responses, Worse int }
