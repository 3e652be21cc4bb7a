package rollout

import (
	"math"
	"time"
)

const (
	// timeBins is the number of bins of a histogram, binsPerOctave of which double the time.
	// The first bin ends at minTime.
	timeBins      = 32
	binsPerOctave = 2
	minTime       = time.Millisecond
)

// cellsPerRoute counts the combinations of load level and version.
const cellsPerRoute = 4

// loadLevels holds whether a runner is above half of its slots, by load level.
var loadLevels = [2]bool{false, true}

// cellIndex returns the index of the counts of a load level and a version in a route.
func cellIndex(loaded, target bool) int {
	index := 0
	if loaded {
		index += 2
	}
	if target {
		index++
	}
	return index
}

// cell holds the counts of the responses of one version on one route at one load level.
type cell struct {
	good, failed uint32
	times        [timeBins]uint32
	// abandoned is a histogram of the times after which callers stopped waiting. The responses would
	// have taken at least as long. They count neither as good nor as failed.
	abandoned [timeBins]uint32
}

// responses counts all responses.
func (c *cell) responses() int { return int(c.good) + int(c.failed) }

// slowerThan counts the responses in the histogram from a bin on.
func (c *cell) slowerThan(bin int) int { return countFrom(&c.times, bin) }

// abandonedAfter counts the responses for which callers have waited for the time of a bin at least.
func (c *cell) abandonedAfter(bin int) int { return countFrom(&c.abandoned, bin) }

func countFrom(histogram *[timeBins]uint32, bin int) int {
	count := 0
	for _, n := range histogram[bin:] {
		count += int(n)
	}
	return count
}

// add adds the counts of another cell.
func (c *cell) add(other *cell) {
	c.good += other.good
	c.failed += other.failed
	for i := range c.times {
		c.times[i] += other.times[i]
		c.abandoned[i] += other.abandoned[i]
	}
}

// subtract removes counts that were added before.
func (c *cell) subtract(added *cell) {
	c.good -= added.good
	c.failed -= added.failed
	for i := range c.times {
		c.times[i] -= added.times[i]
		c.abandoned[i] -= added.abandoned[i]
	}
}

// since removes the counts of an earlier state of the cell. A response that was good then and has
// failed since leaves a count that is smaller than before.
func (c *cell) since(earlier *cell) {
	c.good -= min(c.good, earlier.good)
	c.failed -= min(c.failed, earlier.failed)
	for i := range c.times {
		c.times[i] -= min(c.times[i], earlier.times[i])
		c.abandoned[i] -= min(c.abandoned[i], earlier.abandoned[i])
	}
}

// timeBin returns the bin of a time.
func timeBin(t time.Duration) int {
	if t <= minTime {
		return 0
	}
	bin := 1 + int(binsPerOctave*math.Log2(float64(t)/float64(minTime)))
	return min(bin, timeBins-1)
}

// binMiddle returns a time in the middle of a bin.
func binMiddle(bin int) time.Duration {
	return time.Duration(float64(minTime) * math.Exp2((float64(bin)-0.5)/binsPerOctave))
}

// reportedBins is the number of bins in a report: those of the times, and after them those of the times
// after which callers stopped waiting. Daemons that don't know the latter ignore them. A field of their own
// would make the report unreadable to these.
const reportedBins = 2 * timeBins

// report returns the wire form of the counts.
func (c *cell) report() CellReport {
	var bins [reportedBins]uint32
	copy(bins[:timeBins], c.times[:])
	copy(bins[timeBins:], c.abandoned[:])
	last := reportedBins
	for last > 0 && bins[last-1] == 0 {
		last--
	}
	first := 0
	for first < last && bins[first] == 0 {
		first++
	}
	times := make([]uint32, last-first)
	copy(times, bins[first:last])
	return CellReport{Good: c.good, Failed: c.failed, FirstTime: uint8(first), Times: times}
}

// cell returns the counts of a report. It ignores bins that do not exist.
func (r CellReport) cell() cell {
	c := cell{good: r.Good, failed: r.Failed}
	for i, n := range r.Times {
		switch bin := int(r.FirstTime) + i; {
		case bin < timeBins:
			c.times[bin] = n
		case bin < reportedBins:
			c.abandoned[bin-timeBins] = n
		}
	}
	return c
}
