// Package suspect detects requests that crash the backend servers which run them. A
// Tracker counts the crashes of each request by a fingerprint of its content. A
// CrashTracker looks for what the requests at crashed servers have in common. The package
// performs no I/O.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Threshold is the default number of crashes, over all daemons, from which on a
// request is refused.
const Threshold = 2

// Options are the settings of a Tracker.
type Options struct {
	// Threshold is the number of crashes, over all daemons, from which on a
	// request is refused.
	Threshold int
	// Lifetime is how long a crash counts.
	Lifetime time.Duration
	// MaxEntries bounds the number of fingerprints with crashes.
	MaxEntries int
	// MaxAnswered bounds the number of fingerprints with complete answers.
	MaxAnswered int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{Threshold: Threshold, Lifetime: 10 * time.Minute, MaxEntries: 1000, MaxAnswered: 4096}
}

// Entry holds the crashes of one fingerprint. Entries of all daemons are merged as
// sets of crashes, so merging is idempotent.
type Entry struct {
	Fingerprint uint64
	// Crashes holds the IDs of distinct crashes in ascending order, at
	// most Options.Threshold of them.
	Crashes []uint64
	Expires time.Time
}

// CrashID returns the ID of a crash, which is a hash of the request, the
// backend server and the attempt.
func CrashID(requestID, backend string, attempt int) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(requestID)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(backend)
	_, _ = digest.Write([]byte{0, byte(attempt)})
	return digest.Sum64()
}

// Tracker counts crashes by fingerprint. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu sync.Mutex
	// entries holds at most MaxEntries values.
	entries map[uint64]Entry
	// answered holds when a fingerprint last got a complete answer at this
	// daemon. A request that crashes every backend server never gets one.
	answered *lru.Cache[uint64, time.Time]
}

// New returns a Tracker without crashes.
func New(options Options) *Tracker {
	// The only failure of lru.New is a size below 1.
	answered, _ := lru.New[uint64, time.Time](max(options.MaxAnswered, 1))
	return &Tracker{options: options, entries: make(map[uint64]Entry), answered: answered}
}

// RecordCrash records a crash and returns the updated entry of the fingerprint.
func (t *Tracker) RecordCrash(fingerprint, crashID uint64, now time.Time) Entry {
	crash := Entry{Fingerprint: fingerprint, Crashes: []uint64{crashID}, Expires: now.Add(t.options.Lifetime)}
	t.Merge([]Entry{crash}, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[fingerprint]
}

// Merge merges entries of other daemons and returns the resulting entries that changed.
func (t *Tracker) Merge(entries []Entry, now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Entry
	for _, entry := range entries {
		if !now.Before(entry.Expires) || len(entry.Crashes) == 0 || t.isAnswered(entry.Fingerprint, now) {
			continue
		}
		if merged, changed := t.merge(entry, now); changed {
			changes = append(changes, merged)
		}
	}
	return changes
}

func (t *Tracker) merge(entry Entry, now time.Time) (Entry, bool) {
	expires := minTime(entry.Expires, now.Add(t.options.Lifetime))
	known, found := t.entries[entry.Fingerprint]
	if !found || !now.Before(known.Expires) {
		known = Entry{Fingerprint: entry.Fingerprint}
		t.evict(now)
	}
	crashes := t.union(known.Crashes, entry.Crashes)
	if slices.Equal(crashes, known.Crashes) {
		return known, false
	}
	merged := Entry{Fingerprint: entry.Fingerprint, Crashes: crashes, Expires: maxTime(known.Expires, expires)}
	t.entries[entry.Fingerprint] = merged
	return merged, true
}

// evict makes room for a new entry: if MaxEntries is reached, it removes the expired
// entries or, if there are none, the one that expires first.
func (t *Tracker) evict(now time.Time) {
	if len(t.entries) < t.options.MaxEntries {
		return
	}
	var oldest *Entry
	for fingerprint, entry := range t.entries {
		if !now.Before(entry.Expires) {
			delete(t.entries, fingerprint)
			continue
		}
		if oldest == nil || entry.Expires.Before(oldest.Expires) {
			oldest = &entry
		}
	}
	if len(t.entries) >= t.options.MaxEntries && oldest != nil {
		delete(t.entries, oldest.Fingerprint)
	}
}

// RecordAnswer records a complete answer. Crashes with the fingerprint are ignored for
// Options.Lifetime after it: a popular request runs on many backend servers and is
// often in progress when one of them fails for another reason.
func (t *Tracker) RecordAnswer(fingerprint uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered.Add(fingerprint, now)
	delete(t.entries, fingerprint)
}

// isAnswered reports whether the fingerprint got a complete answer within
// Options.Lifetime. mu must be held.
func (t *Tracker) isAnswered(fingerprint uint64, now time.Time) bool {
	last, found := t.answered.Peek(fingerprint)
	return found && now.Before(last.Add(t.options.Lifetime))
}

// Refused reports whether requests with the fingerprint must be refused, because they
// have reached the threshold of crashes.
func (t *Tracker) Refused(fingerprint uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, found := t.entries[fingerprint]
	return found && now.Before(entry.Expires) && len(entry.Crashes) >= t.options.Threshold
}

// Suspected reports whether the fingerprint has at least one unexpired crash.
func (t *Tracker) Suspected(fingerprint uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, found := t.entries[fingerprint]
	return found && now.Before(entry.Expires) && len(entry.Crashes) > 0
}

// Entries returns the entries that have not expired, sorted by fingerprint.
func (t *Tracker) Entries(now time.Time) []Entry { return t.Recent(t.options.Lifetime, now) }

// Recent returns the unexpired entries whose last crash was recorded within the given
// time before now, sorted by fingerprint.
func (t *Tracker) Recent(within time.Duration, now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for _, entry := range t.entries {
		added := entry.Expires.Add(-t.options.Lifetime)
		if now.Before(entry.Expires) && now.Sub(added) <= within {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(x, y Entry) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return entries
}

// union returns the lowest values of the union of x and y in ascending order, at most
// as many as the threshold.
func (t *Tracker) union(x, y []uint64) []uint64 {
	all := slices.Concat(x, y)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), t.options.Threshold)]
}

func minTime(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

func maxTime(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
