package measure

import (
	"math"
	"math/rand/v2"

	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/route"
)

// source makes the calls of a workload.
type source interface {
	// next returns the next call.
	next() *call
}

// prompts makes prompts and knows what an endless cache would hold.
type prompts struct {
	random *rand.Rand
	// seen are the blocks of all prompts so far.
	seen map[uint64]bool
	// texts counts the texts that were made.
	texts uint64
}

// text is a part of a prompt: its blocks are told apart by its identity.
type text struct {
	id     uint64
	tokens int
}

// text returns a new text.
func (p *prompts) text(tokens int) text {
	p.texts++
	return text{id: p.texts, tokens: tokens}
}

// between returns a number from low to high.
func (p *prompts) between(low, high int) int { return low + p.random.IntN(high-low+1) }

// call returns a call whose prompt consists of texts.
func (p *prompts) call(k kind, texts ...text) *call {
	c := &call{kind: k, answer: p.between(shortAnswer, longAnswer)}
	c.route.Blocks, c.route.PromptTokens = blocks(texts)
	depth := 0
	for depth < len(c.route.Blocks) && p.seen[c.route.Blocks[depth]] {
		depth++
	}
	for _, block := range c.route.Blocks[depth:] {
		p.seen[block] = true
	}
	c.bound = c.route.PromptTokens - depth*prefix.BlockTokens
	c.route.MaxTokens = longAnswer
	c.route.FirstToken = firstTokenTarget
	c.route.BetweenTokens = betweenTokensTarget
	return c
}

// blocks returns the chained hashes of the whole blocks of the texts, and the
// number of tokens. Two prompts share the blocks before their texts differ.
func blocks(texts []text) ([]uint64, int) {
	var hashes []uint64
	total, chained := 0, uint64(0)
	within := 0
	for _, t := range texts {
		for offset := 0; offset < t.tokens; {
			part := min(prefix.BlockTokens-within, t.tokens-offset)
			chained = mix(chained ^ mix(t.id<<20+uint64(offset)<<7+uint64(part)))
			offset += part
			within += part
			if within == prefix.BlockTokens {
				hashes = append(hashes, chained)
				within = 0
			}
		}
		total += t.tokens
	}
	return hashes, total
}

// mix returns a hash of x by the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// zipf draws from count items with probabilities by a Zipf law of exponent 1.
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

// draw returns an item.
func (z zipf) draw(random *rand.Rand) int {
	at := random.Float64() * z.cumulative[len(z.cumulative)-1]
	for i, sum := range z.cumulative {
		if at < sum {
			return i
		}
	}
	return len(z.cumulative) - 1
}

// exponential returns the time to the next event of a rate, in seconds.
func exponential(random *rand.Rand, rate float64) float64 {
	return -math.Log(1-random.Float64()) / rate
}

// weigh gives a call the weights of a tenant's plan.
func (t Tenant) weigh(c *route.Call) {
	c.CostWeight, c.RecomputeWeight = t.CostWeight, t.RecomputeWeight
}
