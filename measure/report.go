package measure

import (
	"fmt"
	"io"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// Report prints every table, each value as the median and the range over the
// seeds.
func Report(w io.Writer, seeds int) {
	tenants := []Tenant{Porchlight(), Trust()}
	for _, tenant := range tenants {
		capacityTable(tenant, seeds).print(w)
	}
	for _, tenant := range tenants {
		scenarioTable(tenant, seeds).print(w)
	}
	weightTable(seeds).print(w)
	priceTable(seeds).print(w)
	surgeTable(seeds).print(w)
	serviceTable(seeds).print(w)
	nightTable(seeds).print(w)
	limitTable(seeds).print(w)
}

// boundedLoad is the usual load bound of consistent hashing with bounded loads.
const boundedLoad = 1.25

// policies returns the score policy and its baselines for a tenant.
func policies(t Tenant) []route.Policy {
	return []route.Policy{
		route.NewScore(),
		route.RoundRobin{},
		route.LeastInFlight{},
		route.LeastInFlight{OwnOnly: true},
		route.PrefixHash{KeyBlocks: t.KeyBlocks},
		route.BoundedHash{KeyBlocks: t.KeyBlocks, Bound: boundedLoad},
	}
}

// dayLoad is the load of an ordinary day as a share of the capacity.
const dayLoad = 0.7

const secondsPerHour = 3600

// capacityTable compares the capacities of the policies.
func capacityTable(t Tenant, seeds int) *table {
	compared := policies(t)
	results := overSeeds(len(compared), seeds, func(variant int, seed uint64) float64 {
		return measureCapacity(t, compared[variant], seed)
	})
	bound := t.idealCapacity(len(t.runners()))
	out := &table{
		title: t.Name + ": capacity and cost at the latency target",
		note: fmt.Sprintf("Calls a second at which 95 in 100 hold both targets, in calm. The bound, with an endless "+
			"shared cache and even load, is %.1f calls a second, or %.1f units of spend for a million calls.",
			bound, costPerMillionCalls(t, bound)),
		columns: []string{"policy", "calls a second", "ratio to least in flight",
			"ratio to least own in flight", "spend for a million calls"},
	}
	least, leastOwn := median(results[2]), median(results[3])
	for i, policy := range compared {
		costs := collect(results[i], func(rate float64) float64 { return costPerMillionCalls(t, rate) })
		out.add(policy.Name(), formatMedianAndRange(results[i], "%.1f"),
			fmt.Sprintf("%.2f", median(results[i])/least),
			fmt.Sprintf("%.2f", median(results[i])/leastOwn), formatMedianAndRange(costs, "%.1f"))
	}
	return out
}

// costPerMillionCalls returns the price of a million calls at a rate of calls per
// second with all runners running.
func costPerMillionCalls(t Tenant, rate float64) float64 {
	return t.hourlyPrice() / (rate * secondsPerHour) * 1e6
}

// scenarioTable compares the policies at dayLoad in each scenario.
func scenarioTable(t Tenant, seeds int) *table {
	remaining := 0
	for _, runner := range t.runners() {
		if runner.Zone != zoneName(reclaimedZone) || !runner.Reclaimable {
			remaining++
		}
	}
	out := &table{
		title: fmt.Sprintf("%s: scenarios at %.0f %% of the capacity", t.Name, 100*dayLoad),
		note: fmt.Sprintf("After the wave %d of %d runners are left, and the load is %.0f %% of their bound. "+
			"The measurement begins with the wave; late calls are those above either target.",
			remaining, len(t.runners()), 100*dayLoad*float64(len(t.runners()))/float64(remaining)),
		columns: []string{"scenario", "policy", "in time %", "in time after 10 s %", "recomputed, ratio to bound",
			"first token p95 ms", "between tokens p95 ms", "busiest runner, ratio to mean"},
	}
	scenarios, compared := Scenarios(), policies(t)
	results := overSeeds(len(scenarios)*len(compared), seeds, func(variant int, seed uint64) outcome {
		sc, policy := scenarios[variant/len(compared)], compared[variant%len(compared)]
		return runScenario(t, sc, policy, seed, dayLoad, scenarioWindow)
	})
	for i, result := range results {
		row := outcomeRow(result)
		out.add(append([]string{scenarios[i/len(compared)].Name, compared[i%len(compared)].Name()}, row...)...)
	}
	return out
}

// outcomeRow formats the outcomes of all seeds.
func outcomeRow(results []outcome) []string {
	return []string{
		formatMedianAndRange(collect(results, func(o outcome) float64 { return 100 * o.onTime }), "%.1f"),
		formatMedianAndRange(collect(results, func(o outcome) float64 { return 100 * o.settledOnTime }), "%.1f"),
		formatMedianAndRange(collect(results, func(o outcome) float64 { return o.recomputeRatio }), "%.2f"),
		formatMedianAndRange(collect(results, func(o outcome) float64 { return 1000 * o.firstToken.Seconds() }), "%.0f"),
		formatMedianAndRange(collect(results, func(o outcome) float64 { return 1000 * o.betweenTokens.Seconds() }), "%.1f"),
		formatMedianAndRange(collect(results, func(o outcome) float64 { return o.peakRatio }), "%.2f"),
	}
}

// weightTable shows the trade-off that the plan's weight for recomputed tokens
// makes between recomputation and even load.
func weightTable(seeds int) *table {
	weights := []float64{0, 0.25, 0.5, 1, 2, 4, 8, 16, 64}
	loads := []float64{dayLoad, heavyLoad}
	out := &table{
		title: "Porchlight: trade by the weight for recomputed tokens",
		note:  "The score policy in calm. Prefix hashing alone, in the tables above, is the far end of the curve.",
		columns: []string{"load %", "weight", "in time %", "in time after 10 s %", "recomputed, ratio to bound",
			"first token p95 ms", "between tokens p95 ms", "busiest runner, ratio to mean"},
	}
	results := overSeeds(len(loads)*len(weights), seeds, func(variant int, seed uint64) outcome {
		t := Porchlight()
		t.RecomputeWeight = weights[variant%len(weights)]
		return runScenario(t, Scenario{}, route.NewScore(), seed, loads[variant/len(weights)], scenarioWindow)
	})
	for i, result := range results {
		load, weight := loads[i/len(weights)], weights[i%len(weights)]
		out.add(append([]string{fmt.Sprintf("%.0f", 100*load), fmt.Sprint(weight)}, outcomeRow(result)...)...)
	}
	return out
}

// heavyLoad is a load near the capacity, as a share of it.
const heavyLoad = 0.9
