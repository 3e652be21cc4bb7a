package outage

import (
	"fmt"
	"io"
	"slices"
)

// Report prints the table of scenarios and the table of holes, with the medians and
// ranges over a number of seeds.
func Report(w io.Writer, scenarios []Scenario, seeds int) {
	fmt.Fprintf(w, "Refused are the calls that ended NotRun or Unknown. Median over %d seeds, range in brackets.\n\n", seeds)
	fmt.Fprint(w, "| fault | design | NotRun during, % | Unknown during, % | refused after, % | appends per claim | hops per call | holes of ranges passed on | run twice |\n")
	fmt.Fprint(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, scenario := range scenarios {
		for _, d := range Designs() {
			var results []Result
			for seed := range uint64(seeds) {
				results = append(results, Run(scenario, d, seed+1))
			}
			printRow(w, scenario.Name, d.Name, results)
		}
	}
	fmt.Fprintln(w)
	reportHoles(w, seeds)
}

func printRow(w io.Writer, scenario, name string, results []Result) {
	runTwice, holes, takenOver := 0, 0, 0
	for _, r := range results {
		runTwice += r.RunTwice
		holes += r.Holes
		takenOver += r.TakenOver
	}
	fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %d of %d | %d |\n", scenario, name,
		formatMedianAndRange(results, "%.2f", func(r Result) float64 { return percent(r.During.NotRun, r.During.Calls) }),
		formatMedianAndRange(results, "%.2f", func(r Result) float64 { return percent(r.During.Unknown, r.During.Calls) }),
		formatMedianAndRange(results, "%.2f", func(r Result) float64 { return percent(r.After.NotRun+r.After.Unknown, r.After.Calls) }),
		formatMedianAndRange(results, "%.2f", func(r Result) float64 { return percent(r.Appends, r.Claims) / 100 }),
		formatMedianAndRange(results, "%.2f", func(r Result) float64 { return percent(r.Hops, r.Calls) / 100 }),
		holes, takenOver, runTwice)
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// formatMedianAndRange formats the median and the range of one value.
func formatMedianAndRange[T any](results []T, format string, value func(T) float64) string {
	var values []float64
	for _, r := range results {
		values = append(values, value(r))
	}
	slices.Sort(values)
	return fmt.Sprintf(format+" ("+format+"–"+format+")", values[len(values)/2], values[0], values[len(values)-1])
}
