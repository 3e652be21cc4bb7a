package capacity

const (
	// MinSpeed and MaxSpeed bound an estimate relative to the typical, so that a runner neither starves nor attracts all
	// requests.
	MinSpeed = 0.25
	// MaxSpeed is the upper bound.
	MaxSpeed = 4.0
	// TypicalTolerance is the relative difference from the typical speed within which a runner
	// counts as typical.
	TypicalTolerance = 0.15
)

// Estimate is what a runner is thought to carry.
type Estimate struct {
	// Speed is the speed relative to what is typical of the service, between MinSpeed and MaxSpeed.
	// It is exactly 1 without samples and within TypicalTolerance.
	Speed float64
	// Knee is the number of requests above which the runner slows down, as a fraction of its slots.
	// It is exactly 1 without samples.
	Knee float64
	// Samples is the number of samples behind the estimate, without those that are forgotten.
	Samples float64
}

// Typical returns the estimate of a runner without samples.
func Typical() Estimate { return Estimate{Speed: 1, Knee: 1} }

// Carries returns the number of requests that a runner with slots carries as well as a typical
// runner carries its slots.
func (e Estimate) Carries(slots int) float64 { return float64(slots) * e.Speed * e.Knee }
