// Package usage counts the requests that runners have started, by time window and
// customer, over all daemons. It performs no I/O.
package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Count is the number of started requests of one customer in one window, as counted
// by one process.
type Count struct {
	// Window is the index of the window since 1970.
	Window   int64
	Customer string
	Requests int64
}

// ProcessCounts are the counts of one process.
type ProcessCounts struct {
	Process string
	Counts  []Count
}

// Counter holds the counts of all processes. It is safe for concurrent use.
type Counter struct {
	// length is the length of a window.
	length time.Duration
	// retained is the number of windows before the current one that are kept.
	retained int64

	mutex sync.Mutex
	// own holds the counts of this process by window and customer, and others what is
	// known of the other processes. A count never decreases.
	own    map[int64]map[string]int64
	others map[string]*peerProcess
}

// peerProcess is what is known of another process.
type peerProcess struct {
	// counts holds its counts by window and customer.
	counts map[int64]map[string]int64
	// heardUntil is the true time up to which the process itself has told its counts;
	// zero if another one has.
	heardUntil time.Time
	// hasEnded is true once the process has told all its counts.
	hasEnded bool
}

// New returns an empty Counter that keeps the given number of windows before the current
// one.
func New(length time.Duration, retained int64) *Counter {
	return &Counter{
		length: length, retained: retained,
		own: make(map[int64]map[string]int64), others: make(map[string]*peerProcess),
	}
}

// Window returns the index of the window that contains a true time (see package
// truetime).
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.length) }

// End returns when a window ends, in true time.
func (c *Counter) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.length)) }

// RecordRequest counts a request that started at a true time.
func (c *Counter) RecordRequest(customer string, at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	window := c.Window(at)
	add(c.own, window, customer, 1)
	deleteBefore(c.own, window-c.retained)
}

// OwnCounts returns the counts of this process, starting at window from.
func (c *Counter) OwnCounts(from int64) []Count {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return list(c.own, from)
}

// PeerCounts returns the counts reported by the other processes, starting at window from.
func (c *Counter) PeerCounts(from int64) []ProcessCounts {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var processes []ProcessCounts
	for process, known := range c.others {
		if counts := list(known.counts, from); len(counts) > 0 {
			processes = append(processes, ProcessCounts{Process: process, Counts: counts})
		}
	}
	slices.SortFunc(processes, func(x, y ProcessCounts) int { return cmp.Compare(x.Process, y.Process) })
	return processes
}

func list(windows map[int64]map[string]int64, from int64) []Count {
	var counts []Count
	for window, customers := range windows {
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

// Merge merges the counts of another process. The caller must name a restarted process
// differently, so that the counts from before the restart are kept.
func (c *Counter) Merge(process string, counts []Count) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	windows := c.peer(process).counts
	newest := int64(0)
	for _, count := range counts {
		known := windows[count.Window][count.Customer]
		add(windows, count.Window, count.Customer, max(count.Requests-known, 0))
		newest = max(newest, count.Window)
	}
	deleteBefore(windows, newest-c.retained)
}

// peer returns what is known of another process. It is called with the mutex held.
func (c *Counter) peer(process string) *peerProcess {
	known := c.others[process]
	if known == nil {
		known = &peerProcess{counts: make(map[int64]map[string]int64)}
		c.others[process] = known
	}
	return known
}

// Total returns the counts of a window by customer, over all processes.
func (c *Counter) Total(window int64) map[string]int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := make(map[string]int64)
	for customer, requests := range c.own[window] {
		total[customer] += requests
	}
	for _, known := range c.others {
		for customer, requests := range known.counts[window] {
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

func deleteBefore(counts map[int64]map[string]int64, before int64) {
	for window := range counts {
		if window < before {
			delete(counts, window)
		}
	}
}
