package timeline

import (
	"sync"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// CounterDropped counts the entries that were overwritten by newer ones.
const CounterDropped = "Timeline.Dropped"

// Entry is one event of the time line with its origin.
type Entry struct {
	Stamp Stamp
	// Daemon is the VM name of the process that recorded the event.
	Daemon string
	Zone   string
	Event  telemetry.Event
}

// Log holds the most recent entries of one process. It implements
// telemetry.Recorder and is safe for concurrent use.
type Log struct {
	common telemetry.Common
	clock  *Clock
	daemon string
	zone   string

	mutex sync.Mutex
	// entries is a circular buffer, with increasing stamps from the oldest entry on.
	entries []Entry
	// written counts all entries that were ever recorded; the next one goes to
	// index written modulo the buffer's length.
	written uint64
}

// NewLog returns an empty log of the given daemon with room for capacity entries.
func NewLog(common telemetry.Common, clock *Clock, daemon, zone string, capacity int) *Log {
	return &Log{
		common:  common,
		clock:   clock,
		daemon:  daemon,
		zone:    zone,
		entries: make([]Entry, max(capacity, 1)),
	}
}

// Record implements telemetry.Recorder. A full log overwrites its oldest entry.
func (l *Log) Record(event telemetry.Event) {
	l.mutex.Lock()
	full := l.written >= uint64(len(l.entries))
	l.entries[l.written%uint64(len(l.entries))] = Entry{
		Stamp:  l.clock.Now(),
		Daemon: l.daemon,
		Zone:   l.zone,
		Event:  event,
	}
	l.written++
	l.mutex.Unlock()
	if full {
		l.common.Count(CounterDropped, 1)
	}
}

// Entries returns the entries that the log still holds, oldest first.
func (l *Log) Entries() []Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	capacity := uint64(len(l.entries))
	held := min(l.written, capacity)
	entries := make([]Entry, 0, held)
	for i := l.written - held; i < l.written; i++ {
		entries = append(entries, l.entries[i%capacity])
	}
	return entries
}

// Dropped returns the number of entries that were overwritten.
func (l *Log) Dropped() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.written - min(l.written, uint64(len(l.entries)))
}
