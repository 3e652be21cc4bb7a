package explain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Route tells where a daemon would send a request now, and why. Times are in milliseconds.
type Route struct {
	// Refused is why the request would be refused before a runner is chosen, or empty.
	Refused string `json:",omitempty"`
	// Route, Service and Customer are those of the request.
	Route, Service, Customer string
	Kind                     string
	Priority                 int
	// Urgency is what the runner is told, if SendsUrgency is true.
	Urgency              int
	SendsUrgency         bool
	ConfigurationVersion uint64
	// LeftMilliseconds is the time until the deadline, and TargetMilliseconds the target latency.
	LeftMilliseconds, TargetMilliseconds int64
	// RunnersAgeMilliseconds is the time since the list of runners was read, and LoadsAgeMilliseconds the
	// mean age of the loads that other daemons put on them.
	RunnersAgeMilliseconds, LoadsAgeMilliseconds int64
	Admission                                    Admission
	// Runners are all of the service, the most likely first.
	Runners []RouteRunner
}

// Admission tells whether a request would be admitted.
type Admission struct {
	// Chance is the probability, and Reason why it is below 1.
	Chance float64
	Reason string `json:",omitempty"`
	// BeyondUsualLoad is the fraction of the customer's requests that are beyond its usual load.
	BeyondUsualLoad float64
	// DemandRatio is that of the demand to the capacity, and AdmittedShare the fraction of all
	// requests that is admitted.
	DemandRatio, AdmittedShare float64
	Running, Waiting, Slots    float64
	// AgeMilliseconds is the age of these figures.
	AgeMilliseconds, WaitMilliseconds, ExpectedMilliseconds, MaxRetryAfterMilliseconds int64
}

// RouteRunner is a runner that may get the request or not.
type RouteRunner struct {
	Runner, Zone, Version string
	// Status is Eligible, or why the runner would not be chosen.
	Status string
	// Chance is the probability to be chosen.
	Chance float64
	Slots  int
	// OwnRunning and PeersRunning count the requests of this daemon and of the others.
	OwnRunning, PeersRunning int
	// PrefillTokens counts the prompt tokens that it has still to read, and UncachedTokens those of this
	// request that it would have to.
	PrefillTokens, UncachedTokens int
	FailureScore, Speed, Knee     float64
	// StatedRunning and StatedWaiting are what it has said last of its load, if StatedAgeMilliseconds is not
	// negative.
	StatedRunning, StatedWaiting int
	StatedAgeMilliseconds        int64
}

// maxPrintedRunners bounds the runners that are printed as text.
const maxPrintedRunners = 20

// PrintRoute writes a route as human-readable text.
func PrintRoute(w io.Writer, route Route) error {
	var text strings.Builder
	if route.Refused != "" {
		fmt.Fprintf(&text, "Refused: %s\n", route.Refused)
	}
	if route.Service == "" {
		_, err := io.WriteString(w, text.String())
		return err
	}
	fmt.Fprintf(&text, "Route %s (%s) to service %s, customer %q, priority %d, %d ms left, target %d ms\n", route.Route, route.Kind,
		route.Service, route.Customer, route.Priority, route.LeftMilliseconds, route.TargetMilliseconds)
	if route.SendsUrgency {
		fmt.Fprintf(&text, "The runner is told urgency %d.\n", route.Urgency)
	}
	printAdmission(&text, route.Admission)
	fmt.Fprintf(&text, "List of runners read %d ms ago, loads of other daemons %d ms old on average, configuration %d\n\n",
		route.RunnersAgeMilliseconds, route.LoadsAgeMilliseconds, route.ConfigurationVersion)
	printRunners(&text, route.Runners)
	_, err := io.WriteString(w, text.String())
	return err
}

func printAdmission(text *strings.Builder, a Admission) {
	fmt.Fprintf(text, "Admitted with probability %.2f", a.Chance)
	if a.Reason != "" {
		fmt.Fprintf(text, " (%s, Retry-After up to %d ms)", a.Reason, a.MaxRetryAfterMilliseconds)
	}
	fmt.Fprintf(text, ": %.0f running and %.0f waiting at %.0f slots, %d ms old; demand %.2f of the capacity, %.2f of all admitted; wait %d ms, then %d ms to the response\n",
		a.Running, a.Waiting, a.Slots, a.AgeMilliseconds, a.DemandRatio, a.AdmittedShare, a.WaitMilliseconds, a.ExpectedMilliseconds)
	if a.BeyondUsualLoad > 0 {
		fmt.Fprintf(text, "%.2f of the customer's requests are beyond its usual load.\n", a.BeyondUsualLoad)
	}
}

func printRunners(text *strings.Builder, runners []RouteRunner) {
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Chance\tRunner\tZone\tVersion\tStatus\tOwn+Peers/Slots\tPrefill\tUncached\tSpeed\tKnee\tFailures\tStated")
	for _, r := range runners[:min(len(runners), maxPrintedRunners)] {
		said := "-"
		if r.StatedAgeMilliseconds >= 0 {
			said = fmt.Sprintf("%d+%d %d ms ago", r.StatedRunning, r.StatedWaiting, r.StatedAgeMilliseconds)
		}
		fmt.Fprintf(table, "%.2f\t%s\t%s\t%s\t%s\t%d+%d/%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%s\n", r.Chance, r.Runner, r.Zone, r.Version, r.Status,
			r.OwnRunning, r.PeersRunning, r.Slots, r.PrefillTokens, r.UncachedTokens, r.Speed, r.Knee, r.FailureScore, said)
	}
	_ = table.Flush()
	if more := len(runners) - maxPrintedRunners; more > 0 {
		fmt.Fprintf(text, "and %d others\n", more)
	}
}

// RoutePath is where a daemon's metrics port tells a Route as JSON.
const RoutePath = "/explain-route"

// The parameters of a request to RoutePath. Its header fields are those of the request to explain.
const (
	HostParameter     = "Host"
	TargetParameter   = "Target"
	CustomerParameter = "Customer"
)
