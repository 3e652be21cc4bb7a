package suspect

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// cause is a set of segments that may be the cause of crashes: in each of them, a request with
// all of the segments was at the runner.
type cause struct {
	// segments are sorted.
	segments []string
	// crashes are the numbers of the crashes in ascending order.
	crashes []int
}

func (c cause) key() string { return strings.Join(c.segments, segmentSeparator) }

// isPartOf reports whether another cause has the same segments and more.
func (c cause) isPartOf(other cause) bool {
	return len(other.segments) > len(c.segments) && containsAll(other.segments, c.segments)
}

// compareCauses orders causes by how much they explain: more crashes first, then more segments.
func compareCauses(x, y cause) int {
	return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(len(y.segments), len(x.segments)), slices.Compare(x.segments, y.segments))
}

// equalCrashesMargin is how many crashes above the threshold it takes to blame each of several
// causes of the same crashes.
const equalCrashesMargin = 2

// causeFinder looks for the causes of crashes. The attempts of the crashes hold only segments
// that were not cleared.
type causeFinder struct {
	crashes   []crash
	threshold int
	// explained holds the numbers of the crashes that have a likely cause.
	explained map[int]bool
}

// findCauses returns the smallest number of sets of segments that explain the crashes, which are
// in the order of their times. A set must stand in threshold crashes in a row.
func findCauses(crashes []crash, threshold int) []Finding {
	if len(crashes) < threshold {
		return nil
	}
	f := causeFinder{crashes: crashes, threshold: threshold, explained: make(map[int]bool)}
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
	return Finding{Segments: c.segments, Since: r.first, Last: r.lastTime, Crashes: r.count}
}

// causes returns the possible causes, the likeliest first. A set that is a part of another
// possible cause is none: only requests with all of the larger set certainly crash runners.
func (f *causeFinder) causes() []cause {
	culprits := f.culprits()
	byKey := make(map[string]cause)
	for _, c := range f.crashes {
		for _, a := range c.attempts {
			segments := slices.DeleteFunc(slices.Clone(a.Segments), func(s string) bool { return !culprits[s] })
			if len(segments) == 0 {
				continue
			}
			slices.Sort(segments)
			possible := cause{segments: slices.Compact(segments)}
			byKey[possible.key()] = possible
		}
	}
	var causes []cause
	for _, possible := range byKey {
		possible.crashes = f.crashesOf(possible.segments)
		if len(possible.crashes) >= f.threshold {
			causes = append(causes, possible)
		}
	}
	whole := slices.Clone(causes)
	causes = slices.DeleteFunc(causes, func(c cause) bool { return slices.ContainsFunc(whole, c.isPartOf) })
	slices.SortFunc(causes, compareCauses)
	return causes
}

// culprits returns the segments that stand in enough crashes.
func (f *causeFinder) culprits() map[string]bool {
	counts := make(map[string]int)
	for _, c := range f.crashes {
		for segment := range c.segments() {
			counts[segment]++
		}
	}
	culprits := make(map[string]bool)
	for segment, count := range counts {
		if count >= f.threshold {
			culprits[segment] = true
		}
	}
	return culprits
}

// crashesOf returns the numbers of the crashes of requests with all of the segments.
func (f *causeFinder) crashesOf(segments []string) []int {
	var numbers []int
	for i, c := range f.crashes {
		if _, found := c.sentWith(segments); found {
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
	var r row
	for _, i := range crashes {
		sent, _ := f.crashes[i].sentWith(c.segments)
		r = r.add(sent, f.crashes[i].at)
	}
	return r
}

// generalize returns single segments of the findings that stand in further crashes in a row,
// with other segments than those of the finding.
func (f *causeFinder) generalize(found []Finding) []Finding {
	explained := make(map[int]bool)
	parts := make(map[string]bool)
	for _, finding := range found {
		for _, i := range f.crashesOf(finding.Segments) {
			explained[i] = true
		}
		for _, segment := range finding.Segments {
			parts[segment] = len(finding.Segments) > 1
		}
	}
	f.explained = explained
	var general []Finding
	for _, segment := range slices.Sorted(maps.Keys(parts)) {
		c := cause{segments: []string{segment}, crashes: f.crashesOf([]string{segment})}
		if parts[segment] && f.rowOf(c, f.unexplained(c)).count >= f.threshold-1 {
			general = append(general, findingOf(c, f.rowOf(c, c.crashes)))
		}
	}
	return general
}
