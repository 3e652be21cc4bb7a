package rollout

import "math"

// grid integrates a function over the standard normal distribution: nodes at equal distances
// and the logarithms of their weights.
type grid struct{ nodes, weights []float64 }

// maxDeviations is the largest distance of a node from the mean.
const maxDeviations = 4

// coarseGrid is for rates that are known well, and fineGrid for rates that may have changed by
// more than many responses of the target leave uncertain.
var (
	coarseGrid = newGrid(9)
	fineGrid   = newGrid(65)
)

func newGrid(size int) grid {
	var g grid
	for i := range size {
		node := maxDeviations * (2*float64(i)/float64(size-1) - 1)
		g.nodes = append(g.nodes, node)
		g.weights = append(g.weights, -node*node/2)
	}
	total := logSum(g.weights)
	for i := range g.weights {
		g.weights[i] -= total
	}
	return g
}

// average returns the logarithm of the weighted average of values given by their logarithms.
func (g grid) average(values []float64) float64 {
	largest := math.Inf(-1)
	for i, v := range values {
		largest = max(largest, v+g.weights[i])
	}
	sum := 0.0
	for i, v := range values {
		sum += math.Exp(v + g.weights[i] - largest)
	}
	return largest + math.Log(sum)
}

// likelihoods holds the logarithms of the likelihoods of the target's responses at each node of
// the rate of the other versions: if the target is worse by each effect, and in the last place
// if it is as good as they are.
type likelihoods [effects + 1][]float64

// likelihoods returns the likelihoods of the target's responses. The rate of the other versions
// is not known exactly: the nodes cover its posterior distribution, which is taken as normal in
// its log odds. The spread is the standard deviation of the log odds between times.
func (f figures) likelihoods(g grid, spread float64, effect func(rate float64, size int) float64) likelihoods {
	worse, better := f.oldWorse+0.5, f.old-f.oldWorse+0.5
	center, deviation := math.Log(worse/better), math.Sqrt(1/worse+1/better+spread*spread)
	weight := f.weight(logistic(center), spread)
	var result likelihoods
	for size := range result {
		result[size] = make([]float64, len(g.nodes))
	}
	for i, node := range g.nodes {
		rate := logistic(center + deviation*node)
		for size := range effects {
			result[size][i] = weight * f.logLikelihood(effect(rate, size))
		}
		result[effects][i] = weight * f.logLikelihood(rate)
	}
	return result
}

// ownSpread is the part of the spread by which the rate of each cell varies on its own.
const ownSpread = 0.5

// weight returns the weight of a response where rates vary between times: the variance of the
// log odds that few responses give, relative to that with the variation of the cell.
func (f figures) weight(rate, spread float64) float64 {
	own := ownSpread * spread
	return 1 / (1 + f.target*rate*(1-rate)*own*own)
}

// add adds the likelihoods of other responses whose rates vary together with these. A cell without
// times to compare has none.
func (l *likelihoods) add(other likelihoods) {
	if other[effects] == nil {
		return
	}
	for size := range l {
		if len(l[size]) == 0 {
			l[size] = make([]float64, len(other[size]))
		}
		for i, v := range other[size] {
			l[size][i] += v
		}
	}
}

// evidence returns, for each effect, the logarithm of the likelihood if the target is worse by
// the effect, relative to that if it is as good, both averaged over the nodes.
func (l likelihoods) evidence(g grid) [effects]float64 {
	var result [effects]float64
	if l[effects] == nil {
		return result
	}
	good := g.average(l[effects])
	for size := range result {
		result[size] = g.average(l[size]) - good
	}
	return result
}

func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

// logSum returns the logarithm of the sum of the exponentials.
func logSum(values []float64) float64 {
	largest := math.Inf(-1)
	for _, v := range values {
		largest = max(largest, v)
	}
	sum := 0.0
	for _, v := range values {
		sum += math.Exp(v - largest)
	}
	return largest + math.Log(sum)
}
