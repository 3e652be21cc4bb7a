package measure

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their times on a clock of its own.
type loop struct {
	// now is the time since the start of the run.
	now    time.Duration
	events eventHeap
	// added numbers the events, so that events at one time keep their order.
	added uint64
}

// event is a function that runs at a time.
type event struct {
	at     time.Duration
	number uint64
	run    func()
}

// at plans run for a time.
func (l *loop) at(when time.Duration, run func()) {
	l.added++
	heap.Push(&l.events, event{at: when, number: l.added, run: run})
}

// after plans run for a time from now.
func (l *loop) after(wait time.Duration, run func()) { l.at(l.now+wait, run) }

// every plans run at each multiple of period, first after first.
func (l *loop) every(first, period time.Duration, run func()) {
	l.after(first, func() {
		run()
		l.every(period, period, run)
	})
}

// runUntil runs the events up to end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run()
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len implements sort.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}

// Swap implements sort.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return popped
}
