package timeline

import (
	"cmp"
	"slices"
)

// Merge merges the entries of several logs in causal order and removes
// duplicates.
func Merge(logs ...[]Entry) []Entry {
	merged := slices.Concat(logs...)
	slices.SortStableFunc(merged, compareEntries)
	return slices.Compact(merged)
}

// compareEntries orders entries by stamp. Entries with the same stamp are
// concurrent; the name of the daemon breaks the tie, so that the order does not
// depend on the order of the logs.
func compareEntries(a, b Entry) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Daemon, b.Daemon))
}

// Filter selects entries by exact match. An empty field matches every entry.
type Filter struct {
	Request  string
	Customer string
	Backend  string
	Kind     string
}

// Apply returns the selected entries in their order.
func (f Filter) Apply(entries []Entry) []Entry {
	var selected []Entry
	for _, entry := range entries {
		if f.Matches(entry) {
			selected = append(selected, entry)
		}
	}
	return selected
}

// Matches reports whether the filter selects the entry.
func (f Filter) Matches(entry Entry) bool {
	return matches(f.Request, entry.Event.Request) &&
		matches(f.Customer, entry.Event.Customer) &&
		matches(f.Backend, entry.Event.Backend) &&
		matches(f.Kind, entry.Event.Kind)
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }
