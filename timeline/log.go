package timeline

import (
	"sync"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// CounterDropped counts the entries that were overwritten by later ones.
const CounterDropped = "Timeline.Dropped"

// Entry is one event of the time line with its origin.
type Entry struct {
	Stamp Stamp
	// Daemon is the VM name of the process that recorded the event.
	Daemon string
	Zone   string
	Event  telemetry.Event
}

// Log holds the last entries of one process. It implements
// telemetry.Recorder and is safe for use by several goroutines.
type Log struct {
	common telemetry.Common
	clock  *Clock
	daemon string
	zone   string

	mutex sync.Mutex
	// entries is a circular buffer; its stamps rise from the oldest on.
	entries []Entry
	// written counts the entries that were ever recorded; the next one goes
	// to written modulo the buffer's length.
	written uint64
}

// NewLog returns an empty log for capacity entries of the given daemon.
func NewLog(common telemetry.Common, clock *Clock, daemon, zone string, capacity int) *Log {
	return &Log{
		common:  common,
		clock:   clock,
		daemon:  daemon,
		zone:    zone,
		entries: make([]Entry, max(capacity, 1)),
	}
}

// Record implements telemetry.Recorder. When the log is full it overwrites the
// oldest entry.
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

// Dropped returns how many entries were overwritten.
func (l *Log) Dropped() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.written - min(l.written, uint64(len(l.entries)))
}
