package capacity

import (
	"math"
	"math/bits"
	"time"
)

const (
	// unitOffset is the number of prompt tokens whose time equals the fixed part of the time to a
	// first event. It matters only for the differences within one size.
	unitOffset = 256
	// sizes is the number of prompt size classes, by powers of two. Prompts below 1<<minSizeBits tokens
	// are in the first one.
	sizes, minSizeBits = 7, 9
	// maxCellWeight bounds the samples that a cell remembers.
	maxCellWeight = 100
	// cellConfidence is the weight of a cell whose residuals count half.
	cellConfidence = 4
)

// typical holds what is typical of a service, as this daemon observes it.
type typical struct {
	// cells hold the logarithm of the time for each unit of work, by kind, size and load.
	cells [kinds][sizes]curve
	// center is the median of the centers of the runners' intervals. It is not zero for a while after the
	// work of the whole service has changed.
	center float64
	// knee is that of a typical runner, and shape the logarithm of the observed slowdown by load bucket,
	// of which the knee is an approximation.
	knee  float64
	shape [buckets]float64
	// isUneven is true if the share of a runner is not typical, and pacedAt is when one has last stated
	// the pace of its VM.
	isUneven bool
	pacedAt  time.Time
}

func newTypical() *typical { return &typical{knee: 1} }

// sizeOf returns the size of the work of a sample.
func sizeOf(s Sample) int {
	if s.Kind != FirstEvent {
		return 0
	}
	return min(max(bits.Len(uint(s.Units))-minSizeBits, 0), sizes-1)
}

// logTime returns the logarithm of the time for each unit of a sample's work, without the time for
// which it has waited for a slot.
func logTime(s Sample) float64 {
	value := math.Log(s.Time.Seconds())
	switch s.Kind {
	case FirstEvent:
		value -= math.Log(float64(s.Units + unitOffset))
	case NextEvents:
		value -= math.Log(float64(s.Units))
	}
	// A request that finds the slots occupied waits in proportion to the load.
	return value - math.Log(max(fractionOf(s.Load), 1))
}

// residual compares a value with the cell of a sample, which it then updates. speed is the logarithm
// of the runner's speed. The weight is lower while the cell knows little, and
// while requests wait.
func (t *typical) residual(s Sample, value, speed float64) (residual, weight float64) {
	cell := &t.cells[s.Kind][sizeOf(s)][bucketOf(s.Load)]
	if cell.weight > 0 {
		residual = min(max(value-cell.mean, -maxResidual), maxResidual)
		value = cell.mean + residual
	}
	weight = cell.weight / (cell.weight + cellConfidence) / max(fractionOf(s.Load), 1)
	cell.add(value+speed, 1, maxCellWeight)
	return residual, weight
}

// updateKnee fits the knee of a typical runner to the kind of which most is known.
func (t *typical) updateKnee() {
	best, most := PlainCall, 0.0
	for _, kind := range []Kind{PlainCall, NextEvents} {
		total := 0.0
		for _, a := range t.cells[kind][0] {
			total += a.weight
		}
		if total > most {
			best, most = kind, total
		}
	}
	t.knee = t.cells[best][0].knee()
	t.shape = t.cells[best][0].shape(t.knee)
}
