package capacity

import "github.com/cranberrywalk/cranberrywalk/call"

// bucketEdges are the upper ends of the load buckets but the last, as fractions of the slots, and
// bucketLoads a load within each bucket.
var (
	bucketEdges = [buckets - 1]float64{0.25, 0.5, 0.75, 1}
	bucketLoads = [buckets]float64{0.125, 0.375, 0.625, 0.875, 1.25}
)

// buckets is the number of load buckets. Loads above the slots are in the last one.
const buckets = 5

// fractionOf returns a known load as a fraction of the slots.
func fractionOf(load call.Load) float64 {
	return float64(load.Running+load.Waiting) / float64(load.Slots)
}

// bucketOf returns the bucket of a known load.
func bucketOf(load call.Load) int {
	fraction := fractionOf(load)
	for i, edge := range bucketEdges {
		if fraction <= edge {
			return i
		}
	}
	return buckets - 1
}
