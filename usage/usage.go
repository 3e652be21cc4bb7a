// Package usage counts the requests that runners began, by window of time and
// customer, over all daemons. It has no input or output.
package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Count is the number of requests that one process saw begin.
type Count struct {
	// Window is the number of the window since 1970.
	Window   int64
	Customer string
	Requests int64
}

// ProcessCounts are the counts of one process.
type ProcessCounts struct {
	Process string
	Counts  []Count
}

// Book holds the counts of all processes. It is safe for use by several
// goroutines.
type Book struct {
	// length is that of a window.
	length time.Duration
	// kept is the number of windows that are remembered.
	kept int64

	mutex sync.Mutex
	// own and others hold the counts by window and customer; others by
	// process besides. Counts never fall.
	own    map[int64]map[string]int64
	others map[string]map[int64]map[string]int64
}

// New returns an empty book that remembers a number of windows.
func New(length time.Duration, kept int64) *Book {
	return &Book{
		length: length, kept: kept,
		own: make(map[int64]map[string]int64), others: make(map[string]map[int64]map[string]int64),
	}
}

// Window returns the number of the window of a true time.
func (b *Book) Window(at time.Time) int64 { return at.UnixNano() / int64(b.length) }

// End returns when a window ends, in true time.
func (b *Book) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(b.length)) }

// Began counts a request that began at a true time.
func (b *Book) Began(customer string, at time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.Window(at)
	add(b.own, window, customer, 1)
	forget(b.own, window-b.kept)
}

// Own returns the counts of this process for the windows from one on.
func (b *Book) Own(from int64) []Count {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return list(b.own, from)
}

// Heard returns the counts of the other processes for the windows from one on.
func (b *Book) Heard(from int64) []ProcessCounts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var heard []ProcessCounts
	for process, held := range b.others {
		if counts := list(held, from); len(counts) > 0 {
			heard = append(heard, ProcessCounts{Process: process, Counts: counts})
		}
	}
	slices.SortFunc(heard, func(x, y ProcessCounts) int { return cmp.Compare(x.Process, y.Process) })
	return heard
}

func list(held map[int64]map[string]int64, from int64) []Count {
	var counts []Count
	for window, customers := range held {
		if window < from {
			continue
		}
		for customer, requests := range customers {
			counts = append(counts, Count{Window: window, Customer: customer, Requests: requests})
		}
	}
	slices.SortFunc(counts, func(x, y Count) int {
		return cmp.Or(cmp.Compare(x.Window, y.Window), cmp.Compare(x.Customer, y.Customer))
	})
	return counts
}

// Hear takes in the counts of another process. A process that started anew is
// another one, so that what its VM counted before stays.
func (b *Book) Hear(process string, counts []Count) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	held := b.others[process]
	if held == nil {
		held = make(map[int64]map[string]int64)
		b.others[process] = held
	}
	newest := int64(0)
	for _, count := range counts {
		known := held[count.Window][count.Customer]
		add(held, count.Window, count.Customer, max(count.Requests-known, 0))
		newest = max(newest, count.Window)
	}
	forget(held, newest-b.kept)
}

// Total returns the counts of a window by customer, over all processes.
func (b *Book) Total(window int64) map[string]int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	total := make(map[string]int64)
	for customer, requests := range b.own[window] {
		total[customer] += requests
	}
	for _, held := range b.others {
		for customer, requests := range held[window] {
			total[customer] += requests
		}
	}
	return total
}

func add(counts map[int64]map[string]int64, window int64, customer string, requests int64) {
	if counts[window] == nil {
		counts[window] = make(map[string]int64)
	}
	counts[window][customer] += requests
}

func forget(counts map[int64]map[string]int64, before int64) {
	for window := range counts {
		if window < before {
			delete(counts, window)
		}
	}
}
