package measure

import (
	"math"
	"math/rand/v2"

	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/route"
)

// source generates the calls of a workload.
type source interface {
	// next returns the next call.
	next() *call
}

// promptGenerator generates prompts and tracks which blocks an unlimited cache
// would hold.
type promptGenerator struct {
	random *rand.Rand
	// seenBlocks holds the blocks of all prompts so far.
	seenBlocks map[uint64]bool
	// segments counts the generated segments.
	segments uint64
}

// segment is a part of a prompt. Its ID stands for its text: segments with the
// same ID have the same block hashes.
type segment struct {
	id     uint64
	tokens int
}

// newSegment returns a segment that differs from all others.
func (p *promptGenerator) newSegment(tokens int) segment {
	p.segments++
	return segment{id: p.segments, tokens: tokens}
}

// randomBetween returns a number from low to high, both included.
func (p *promptGenerator) randomBetween(low, high int) int { return low + p.random.IntN(high-low+1) }

// newCall returns a call whose prompt consists of segments.
func (p *promptGenerator) newCall(k callKind, segments ...segment) *call {
	c := &call{kind: k, answerTokens: p.randomBetween(minAnswerTokens, maxAnswerTokens)}
	c.route.Blocks, c.route.PromptTokens = hashBlocks(segments)
	depth := 0
	for depth < len(c.route.Blocks) && p.seenBlocks[c.route.Blocks[depth]] {
		depth++
	}
	for _, block := range c.route.Blocks[depth:] {
		p.seenBlocks[block] = true
	}
	c.prefillBound = c.route.PromptTokens - depth*prefix.BlockTokens
	c.route.MaxTokens = maxAnswerTokens
	c.route.FirstToken = firstTokenTarget
	c.route.BetweenTokens = betweenTokensTarget
	return c
}

// hashBlocks returns the chained hashes of the full blocks of the segments, and
// the number of tokens. Two prompts share the blocks up to the first difference.
func hashBlocks(segments []segment) ([]uint64, int) {
	var hashes []uint64
	total, hash := 0, uint64(0)
	inBlock := 0
	for _, s := range segments {
		for offset := 0; offset < s.tokens; {
			part := min(prefix.BlockTokens-inBlock, s.tokens-offset)
			hash = mix(hash ^ mix(s.id<<20+uint64(offset)<<7+uint64(part)))
			offset += part
			inBlock += part
			if inBlock == prefix.BlockTokens {
				hashes = append(hashes, hash)
				inBlock = 0
			}
		}
		total += s.tokens
	}
	return hashes, total
}

// mix hashes x with the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// zipf draws items from a Zipf distribution with exponent 1.
type zipf struct {
	cumulative []float64
}

func newZipf(count int) zipf {
	z := zipf{cumulative: make([]float64, count)}
	sum := 0.0
	for i := range z.cumulative {
		sum += 1 / float64(i+1)
		z.cumulative[i] = sum
	}
	return z
}

// draw returns the index of an item.
func (z zipf) draw(random *rand.Rand) int {
	at := random.Float64() * z.cumulative[len(z.cumulative)-1]
	for i, sum := range z.cumulative {
		if at < sum {
			return i
		}
	}
	return len(z.cumulative) - 1
}

// exponential returns the time in seconds to the next event of a Poisson process.
func exponential(random *rand.Rand, rate float64) float64 {
	return -math.Log(1-random.Float64()) / rate
}

// setWeights sets the weights of the tenant's plan on a call.
func (t Tenant) setWeights(c *route.Call) {
	c.CostWeight, c.RecomputeWeight = t.CostWeight, t.RecomputeWeight
}
