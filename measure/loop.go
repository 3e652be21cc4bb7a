package measure

import (
	"container/heap"
	"time"
)

// eventLoop is a discrete-event simulator: it runs events in time order on a
// simulated clock.
type eventLoop struct {
	// now is the time since the start of the run.
	now    time.Duration
	events eventHeap
	// added numbers the events, so that events of the same time run in the order
	// in which they were scheduled.
	added uint64
}

// scheduledEvent is a function to run at a simulated time.
type scheduledEvent struct {
	at     time.Duration
	number uint64
	run    func()
}

// at schedules run for a time.
func (l *eventLoop) at(when time.Duration, run func()) {
	l.added++
	heap.Push(&l.events, scheduledEvent{at: when, number: l.added, run: run})
}

// after schedules run after a delay.
func (l *eventLoop) after(wait time.Duration, run func()) { l.at(l.now+wait, run) }

// every schedules run every period, for the first time after the delay first.
func (l *eventLoop) every(first, period time.Duration, run func()) {
	l.after(first, func() {
		run()
		l.every(period, period, run)
	})
}

// runUntil runs the events up to and including the time end.
func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		next := heap.Pop(&l.events).(scheduledEvent)
		l.now = next.at
		next.run()
	}
}

// eventHeap implements heap.Interface.
type eventHeap []scheduledEvent

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
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = scheduledEvent{}
	*h = (*h)[:last]
	return popped
}
