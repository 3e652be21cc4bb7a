package suspect

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// cause is a set of traits that may be the cause of crashes: in each of them, a request with
// all of the traits was at the runner.
type cause struct {
	// traits are sorted.
	traits []string
	// crashes are the numbers of the crashes in ascending order.
	crashes []int
}

func (c cause) key() string { return strings.Join(c.traits, traitSeparator) }

// isPartOf reports whether another cause has the same traits and more.
func (c cause) isPartOf(other cause) bool {
	return len(other.traits) > len(c.traits) && containsAll(other.traits, c.traits)
}

// compareCauses orders causes by how much they explain: more crashes first, then more traits.
func compareCauses(x, y cause) int {
	return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(len(y.traits), len(x.traits)), slices.Compare(x.traits, y.traits))
}

// equalCrashesMargin is how many crashes above the threshold it takes to blame each of several
// causes of the same crashes.
const equalCrashesMargin = 2

// causeFinder looks for the causes of crashes. The attempts of the crashes hold only traits
// that were not cleared.
type causeFinder struct {
	crashes []crash
	// threshold and separation are those of the options of the tracker.
	threshold  int
	separation time.Duration
	// explained holds the numbers of the crashes that have a likely cause.
	explained map[int]bool
}

// findCauses returns the smallest number of sets of traits that explain the crashes, which are
// in the order of their times. A set must stand in as many crashes in a row as the threshold.
func findCauses(crashes []crash, options CrashOptions) []Finding {
	threshold := options.Threshold
	if len(crashes) < threshold {
		return nil
	}
	f := causeFinder{crashes: crashes, threshold: threshold, separation: options.Separation, explained: make(map[int]bool)}
	var found []Finding
	for _, equal := range groupEqual(f.causes()) {
		left := f.unexplained(equal[0])
		f.explain(left)
		if len(equal) > 1 && len(equal[0].crashes) < threshold+equalCrashesMargin {
			continue
		}
		for _, c := range equal {
			if r := f.rowOf(c, left); r.count >= threshold {
				found = append(found, findingOf(c, r))
			}
		}
	}
	return append(found, f.generalize(found)...)
}

// groupEqual groups the causes that explain the same crashes, in the order of the first of each
// group.
func groupEqual(causes []cause) [][]cause {
	var groups [][]cause
	for _, c := range causes {
		i := slices.IndexFunc(groups, func(group []cause) bool { return slices.Equal(group[0].crashes, c.crashes) })
		if i < 0 {
			groups = append(groups, []cause{c})
			continue
		}
		groups[i] = append(groups[i], c)
	}
	return groups
}

func findingOf(c cause, r row) Finding {
	return Finding{Traits: c.traits, Since: r.first, Last: r.lastTime, Crashes: r.count}
}

// causes returns the possible causes, the likeliest first. A set that is a part of another
// possible cause is none: only requests with all of the larger set certainly crash runners.
func (f *causeFinder) causes() []cause {
	culprits := f.culprits()
	byKey := make(map[string]cause)
	for _, c := range f.crashes {
		for _, a := range c.attempts {
			traits := slices.DeleteFunc(slices.Clone(a.Traits), func(s string) bool { return !culprits[s] })
			if len(traits) == 0 {
				continue
			}
			slices.Sort(traits)
			possible := cause{traits: slices.Compact(traits)}
			byKey[possible.key()] = possible
		}
	}
	var causes []cause
	for _, possible := range byKey {
		possible.crashes = f.crashesOf(possible.traits)
		if len(possible.crashes) >= f.threshold {
			causes = append(causes, possible)
		}
	}
	whole := slices.Clone(causes)
	causes = slices.DeleteFunc(causes, func(c cause) bool { return slices.ContainsFunc(whole, c.isPartOf) })
	slices.SortFunc(causes, compareCauses)
	return causes
}

// culprits returns the traits that stand in enough crashes.
func (f *causeFinder) culprits() map[string]bool {
	counts := make(map[string]int)
	for _, c := range f.crashes {
		for trait := range c.traits() {
			counts[trait]++
		}
	}
	culprits := make(map[string]bool)
	for trait, count := range counts {
		if count >= f.threshold {
			culprits[trait] = true
		}
	}
	return culprits
}

// crashesOf returns the numbers of the crashes of requests with all of the traits.
func (f *causeFinder) crashesOf(traits []string) []int {
	var numbers []int
	for i, c := range f.crashes {
		if _, found := c.sentWith(traits); found {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// unexplained returns those crashes of a cause that have no likely cause yet.
func (f *causeFinder) unexplained(c cause) []int {
	return slices.DeleteFunc(slices.Clone(c.crashes), func(i int) bool { return f.explained[i] })
}

func (f *causeFinder) explain(crashes []int) {
	for _, i := range crashes {
		f.explained[i] = true
	}
}

// rowOf counts the given crashes of a cause that are in a row.
func (f *causeFinder) rowOf(c cause, crashes []int) row {
	r := row{separation: f.separation}
	for _, i := range crashes {
		sent, _ := f.crashes[i].sentWith(c.traits)
		r = r.add(sent, f.crashes[i].at)
	}
	return r
}

// generalize returns single traits of the findings that stand in further crashes in a row,
// with other traits than those of the finding.
func (f *causeFinder) generalize(found []Finding) []Finding {
	explained := make(map[int]bool)
	parts := make(map[string]bool)
	for _, finding := range found {
		for _, i := range f.crashesOf(finding.Traits) {
			explained[i] = true
		}
		for _, trait := range finding.Traits {
			parts[trait] = len(finding.Traits) > 1
		}
	}
	f.explained = explained
	var general []Finding
	for _, trait := range slices.Sorted(maps.Keys(parts)) {
		c := cause{traits: []string{trait}, crashes: f.crashesOf([]string{trait})}
		if parts[trait] && f.rowOf(c, f.unexplained(c)).count >= f.threshold-1 {
			general = append(general, findingOf(c, f.rowOf(c, c.crashes)))
		}
	}
	return general
}
