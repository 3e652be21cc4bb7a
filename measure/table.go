package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
)

// table is a Markdown table with a title and a note.
type table struct {
	title string
	// note explains the table in a sentence or two.
	note    string
	columns []string
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the table as Markdown.
func (t *table) print(w io.Writer) {
	fmt.Fprintf(w, "## %s\n\n%s\n\n", t.title, t.note)
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(t.columns, " | "), strings.Repeat(" --- |", len(t.columns)))
	for _, row := range t.rows {
		fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
	}
	fmt.Fprintln(w)
}

// formatMedianAndRange formats the median and the range of one value over the
// seeds.
func formatMedianAndRange(values []float64, format string) string {
	sorted := slices.Sorted(slices.Values(values))
	median, low, high := sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]
	return fmt.Sprintf(format+" ("+format+"–"+format+")", median, low, high)
}

func median(values []float64) float64 {
	return slices.Sorted(slices.Values(values))[len(values)/2]
}

// parallelRuns is the maximum number of concurrent runs.
const parallelRuns = 4

// runInParallel calls work for each index below count, up to parallelRuns at a
// time.
func runInParallel(count int, work func(index int)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, parallelRuns)
	for i := range count {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			work(i)
			<-slots
		}()
	}
	group.Wait()
}

// overSeeds returns the results of work by variant and seed. Seeds begin at 1.
func overSeeds[T any](variants, seeds int, work func(variant int, seed uint64) T) [][]T {
	results := make([][]T, variants)
	for i := range results {
		results[i] = make([]T, seeds)
	}
	runInParallel(variants*seeds, func(i int) {
		variant, seed := i/seeds, i%seeds
		results[variant][seed] = work(variant, uint64(seed)+1)
	})
	return results
}

// collect returns one value of each result.
func collect[T any](results []T, field func(T) float64) []float64 {
	values := make([]float64, len(results))
	for i, result := range results {
		values[i] = field(result)
	}
	return values
}
