package rollout

import "math"

// effects is the number of sizes of a fault that are looked for, the smallest first.
const effects = 3

// failureEffects are the shares of the responses that faults of each size turn into failures.
var failureEffects = [effects]float64{0.1, 0.3, 0.5}

// evidence holds the evidence of one test on a set of counts.
type evidence struct {
	test  Test
	names []string
	cells []cellEvidence
	// isCommon is true if the rates of all cells vary together.
	isCommon bool
	grid     grid
}

// cellEvidence is the evidence in the responses of one route at one load level.
type cellEvidence struct {
	route   int
	loaded  bool
	figures figures
	// byEffect holds, for each effect, the logarithm of its likelihood relative to none.
	byEffect [effects]float64
	// common holds the likelihoods for rates that vary together with those of other cells. It
	// takes the place of byEffect.
	common likelihoods
}

// comparison is what a test on some counts compares them with.
type comparison struct {
	test       Test
	thresholds [][2]thresholds
	// background replaces the responses of the other versions by those of another time, unless
	// it is nil. The rates of all cells are then assumed to have changed together since, by
	// spread, the standard deviation of their log odds.
	background *counts
	spread     float64
}

// evidence evaluates a test.
func (c *counts) evidence(with comparison) evidence {
	result := evidence{test: with.test, names: c.names, grid: coarseGrid}
	if with.background != nil {
		result.grid, result.isCommon = fineGrid, true
	}
	for r := range c.routes {
		for level, loaded := range loadLevels {
			found := cellEvidence{route: r, loaded: loaded}
			old, target := with.cells(c, r, loaded)
			if with.test == TestFailures {
				found.figures = failureFigures(old, target)
				result.add(&found, found.figures.likelihoods(result.grid, with.spread, failureEffect))
			} else if r < len(with.thresholds) {
				result.addTimes(&found, old, target, with.stages(r, level), with.spread)
			}
			result.cells = append(result.cells, found)
		}
	}
	return result
}

// cells returns the counts of the other versions and of the target that are compared.
func (w comparison) cells(c *counts, route int, loaded bool) (old, target *cell) {
	target = &c.routes[route][cellIndex(loaded, true)]
	if w.background != nil {
		c = w.background
	}
	if route >= len(c.routes) {
		return &cell{}, target
	}
	return &c.routes[route][cellIndex(loaded, false)], target
}

// stages returns the thresholds of a cell. Where rates may have changed, only one is used, since
// the spread is that of its rate.
func (w comparison) stages(route, level int) thresholds {
	known := w.thresholds[route][level]
	if w.background != nil && len(known.stages) > 0 {
		known.stages = []stage{known.whole}
	}
	return known
}

// addTimes adds the evidence of the times in a cell.
func (e evidence) addTimes(to *cellEvidence, old, target *cell, t thresholds, spread float64) {
	for _, s := range t.stages {
		e.add(to, timeFigures(old, target, s.from, s.bin).likelihoods(e.grid, spread, s.effect))
	}
	to.figures = t.figures(old, target)
}

// add adds evidence to that of a cell.
func (e evidence) add(to *cellEvidence, found likelihoods) {
	if e.isCommon {
		to.common.add(found)
		return
	}
	for size, value := range found.evidence(e.grid) {
		to.byEffect[size] += value
	}
}

func failureEffect(rate float64, size int) float64 { return rate + failureEffects[size]*(1-rate) }

// ofGroup returns the evidence of a group, and the sums of the figures.
func (e evidence) ofGroup(g group) ([effects]float64, figures) {
	var sum [effects]float64
	var total figures
	var common likelihoods
	for i := range e.cells {
		found := &e.cells[i]
		if !g.contains(found.route, found.loaded) {
			continue
		}
		total = total.plus(found.figures)
		if e.isCommon {
			common.add(found.common)
		}
		for size, value := range found.byEffect {
			sum[size] += value
		}
	}
	if e.isCommon {
		sum = common.evidence(e.grid)
	}
	return sum, total
}

// figuresOf returns the figures of a group.
func (c *counts) figuresOf(g group, with comparison) figures {
	var total figures
	for r := range c.routes {
		for level, loaded := range loadLevels {
			if !g.contains(r, loaded) {
				continue
			}
			old, target := with.cells(c, r, loaded)
			if with.test == TestFailures {
				total = total.plus(failureFigures(old, target))
			} else if r < len(with.thresholds) {
				total = total.plus(with.thresholds[r][level].figures(old, target))
			}
		}
	}
	return total
}

// result returns the evidence of a group, undecided.
func (e evidence) result(g group) Result {
	byEffect, total := e.ofGroup(g)
	result := Result{
		Test: e.test, AllRoutes: g.route == allRoutes, OnlyLoaded: g.onlyLoaded,
		Evidence: logSum(byEffect[:]) - math.Log(effects),
		Target:   Share{Responses: int(total.target), Worse: int(total.targetWorse)},
		Old:      Share{Responses: int(total.old), Worse: int(total.oldWorse)},
	}
	if g.route != allRoutes {
		result.Route = e.names[g.route]
	}
	return result
}

// worst returns the group with the strongest evidence, and whether that reaches a limit.
func (e evidence) worst(groups []group, limit float64, rule Rule) (Result, bool) {
	strongest := Result{Evidence: math.Inf(-1)}
	for _, g := range groups {
		if found := e.result(g); found.Evidence > strongest.Evidence {
			strongest = found
		}
	}
	strongest.Verdict, strongest.Rule = Bad, rule
	return strongest, strongest.Evidence >= limit
}
