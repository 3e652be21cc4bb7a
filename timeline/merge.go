package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the entries of several logs as one, in causal order. Entries
// that occur more than once are kept once.
func Merge(logs ...[]Entry) []Entry {
	merged := slices.Concat(logs...)
	slices.SortStableFunc(merged, compareEntries)
	return slices.Compact(merged)
}

// compareEntries orders entries by stamp. Entries with the same stamp are
// concurrent; the name of the daemon makes their order the same everywhere.
func compareEntries(a, b Entry) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Daemon, b.Daemon))
}

// Filter selects entries. An empty field selects all.
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
