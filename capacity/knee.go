package capacity

import "math"

// average is a weighted mean that forgets.
type average struct{ weight, mean float64 }

// add adds a value. At most limit earlier values count.
func (a *average) add(value, weight, limit float64) {
	a.weight = min(a.weight+weight, limit)
	a.mean += weight / a.weight * (value - a.mean)
}

// curve holds the logarithm of the time for a piece of work by load bucket.
type curve [buckets]average

const (
	// minCurveWeight is the weight from which on a bucket shows something.
	minCurveWeight = 6
	// minKneeGain is the mean squared error by which a knee has to describe a curve better than none.
	minKneeGain = 0.008
)

// slowdown returns the logarithm of the slowdown in a bucket of a runner with a knee: above it, the
// runner completes no more requests in a second.
func slowdown(knee float64, bucket int) float64 {
	return max(math.Log(bucketLoads[bucket]/knee), 0)
}

// knee returns the load up to which the curve shows no slowdown, as a fraction of the slots, or 1.
func (c *curve) knee() float64 {
	without, known := c.fitError(1)
	best, least := 1.0, without
	for _, edge := range bucketEdges[:buckets-2] {
		if squared, _ := c.fitError(edge); squared < least {
			best, least = edge, squared
		}
	}
	if known < 2 || without-least < minKneeGain {
		return 1
	}
	return best
}

// error returns the mean squared error of a knee, and the number of buckets that show something. The
// last bucket, in which requests wait, is left out.
func (c *curve) fitError(knee float64) (float64, int) {
	mean, weight, known := c.base(knee)
	if known == 0 {
		return 0, 0
	}
	total := 0.0
	for i, a := range c[:buckets-1] {
		if a.weight >= minCurveWeight {
			off := a.mean - slowdown(knee, i) - mean
			total += a.weight * off * off
		}
	}
	return total / weight, known
}

// base returns the mean of the curve without the slowdown of a knee, its weight, and the number of
// buckets that show something.
func (c *curve) base(knee float64) (mean, weight float64, known int) {
	sum := 0.0
	for i, a := range c[:buckets-1] {
		if a.weight < minCurveWeight {
			continue
		}
		known++
		weight += a.weight
		sum += a.weight * (a.mean - slowdown(knee, i))
	}
	if known == 0 {
		return 0, 0, 0
	}
	return sum / weight, weight, known
}

// shape returns the observed slowdown by bucket, or that of a knee where nothing is known.
func (c *curve) shape(knee float64) [buckets]float64 {
	var shape [buckets]float64
	mean, _, known := c.base(knee)
	for i, a := range c {
		shape[i] = slowdown(knee, i)
		if known > 0 && a.weight >= minCurveWeight {
			shape[i] = a.mean - mean
		}
	}
	return shape
}

// forget reduces the weights of all buckets.
func (c *curve) forget(factor float64) {
	for i := range c {
		c[i].weight *= factor
	}
}
