// Package suspect recognises requests that crash the backend servers which
// run them, by a fingerprint of their content. It has no input or output.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Threshold is the usual number of crashes, over all daemons, after which a
// request is refused.
const Threshold = 2

// Options bounds a book.
type Options struct {
	// Threshold is the number of crashes after which a request is refused.
	Threshold int
	// Lifetime is how long a crash counts.
	Lifetime time.Duration
	// MaxEntries bounds the number of fingerprints with crashes.
	MaxEntries int
	// MaxAnswered bounds the number of fingerprints with whole answers.
	MaxAnswered int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{Threshold: Threshold, Lifetime: 10 * time.Minute, MaxEntries: 1000, MaxAnswered: 4096}
}

// Entry tells what is known of one fingerprint. Entries of all daemons are
// merged as sets of crashes, so that a repeated entry changes nothing.
type Entry struct {
	Fingerprint uint64
	// Crashes holds the identities of distinct crashes in ascending order,
	// at most the threshold of them.
	Crashes []uint64
	Expires time.Time
}

// Identity returns the identity of a crash: of one attempt of one request at
// one backend server.
func Identity(requestID, backend string, attempt int) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(requestID)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(backend)
	_, _ = digest.Write([]byte{0, byte(attempt)})
	return digest.Sum64()
}

// Book counts crashes by fingerprint. It is safe for use by several
// goroutines.
type Book struct {
	options Options

	mu sync.Mutex
	// entries holds at most MaxEntries values.
	entries map[uint64]Entry
	// answered holds when a fingerprint last got a whole answer at this
	// daemon. A request that crashes every backend server never gets one.
	answered *lru.Cache[uint64, time.Time]
}

// New returns an empty book.
func New(options Options) *Book {
	// The only failure of lru.New is a size below 1.
	answered, _ := lru.New[uint64, time.Time](max(options.MaxAnswered, 1))
	return &Book{options: options, entries: make(map[uint64]Entry), answered: answered}
}

// Add records a crash and returns what is known of the fingerprint then.
func (b *Book) Add(fingerprint, identity uint64, now time.Time) Entry {
	crash := Entry{Fingerprint: fingerprint, Crashes: []uint64{identity}, Expires: now.Add(b.options.Lifetime)}
	b.Merge([]Entry{crash}, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[fingerprint]
}

// Merge takes in entries of other daemons and returns those that were news.
func (b *Book) Merge(entries []Entry, now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var news []Entry
	for _, entry := range entries {
		if !now.Before(entry.Expires) || len(entry.Crashes) == 0 || b.isAnswered(entry.Fingerprint, now) {
			continue
		}
		if merged, changed := b.merge(entry, now); changed {
			news = append(news, merged)
		}
	}
	return news
}

func (b *Book) merge(entry Entry, now time.Time) (Entry, bool) {
	expires := minTime(entry.Expires, now.Add(b.options.Lifetime))
	known, found := b.entries[entry.Fingerprint]
	if !found || !now.Before(known.Expires) {
		known = Entry{Fingerprint: entry.Fingerprint}
		b.makeRoom(now)
	}
	crashes := b.union(known.Crashes, entry.Crashes)
	if slices.Equal(crashes, known.Crashes) {
		return known, false
	}
	merged := Entry{Fingerprint: entry.Fingerprint, Crashes: crashes, Expires: maxTime(known.Expires, expires)}
	b.entries[entry.Fingerprint] = merged
	return merged, true
}

// makeRoom removes what has expired and, in a full book, the entry that
// expires first.
func (b *Book) makeRoom(now time.Time) {
	if len(b.entries) < b.options.MaxEntries {
		return
	}
	var oldest *Entry
	for fingerprint, entry := range b.entries {
		if !now.Before(entry.Expires) {
			delete(b.entries, fingerprint)
			continue
		}
		if oldest == nil || entry.Expires.Before(oldest.Expires) {
			oldest = &entry
		}
	}
	if len(b.entries) >= b.options.MaxEntries && oldest != nil {
		delete(b.entries, oldest.Fingerprint)
	}
}

// Answered records a whole answer. Crashes of popular requests, which are on
// many backend servers when those go away, do not count for a lifetime.
func (b *Book) Answered(fingerprint uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered.Add(fingerprint, now)
	delete(b.entries, fingerprint)
}

// isAnswered is called with mu held.
func (b *Book) isAnswered(fingerprint uint64, now time.Time) bool {
	last, found := b.answered.Peek(fingerprint)
	return found && now.Before(last.Add(b.options.Lifetime))
}

// Refused reports whether requests with the fingerprint are refused.
func (b *Book) Refused(fingerprint uint64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, found := b.entries[fingerprint]
	return found && now.Before(entry.Expires) && len(entry.Crashes) >= b.options.Threshold
}

// Suspected reports whether a crash counts against the fingerprint.
func (b *Book) Suspected(fingerprint uint64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, found := b.entries[fingerprint]
	return found && now.Before(entry.Expires) && len(entry.Crashes) > 0
}

// Entries returns what has not expired, by fingerprint.
func (b *Book) Entries(now time.Time) []Entry { return b.Recent(b.options.Lifetime, now) }

// Recent returns what was added within a time, by fingerprint.
func (b *Book) Recent(within time.Duration, now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var entries []Entry
	for _, entry := range b.entries {
		added := entry.Expires.Add(-b.options.Lifetime)
		if now.Before(entry.Expires) && now.Sub(added) <= within {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(x, y Entry) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return entries
}

// union returns the first values that x or y holds, ascending, as many as the
// threshold.
func (b *Book) union(x, y []uint64) []uint64 {
	all := slices.Concat(x, y)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), b.options.Threshold)]
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
