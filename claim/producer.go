package claim

import "time"

// producerName identifies a process that writes to the claim stream.
type producerName struct {
	daemon      string
	incarnation string
}

// producer is what a book knows of a process.
type producer struct {
	name producerName
	// highest is the highest number of a folded record. A record at or
	// below it is a copy that a repeated or delayed append left behind.
	highest uint64
	// seen is the log time of the last record, copies included: an append
	// that is repeated for long leaves a chain of copies.
	seen time.Time
}

// producers are the processes that wrote within the last lifetime.
type producers struct {
	lifetime time.Duration
	known    map[producerName]*producer
	// sweepAt is the size at which the next sweep is due.
	sweepAt int
}

// minSweep is the smallest number of producers that is worth a sweep.
const minSweep = 64

// take returns the producer of a record and moves its number on. It returns
// nil when the record is a copy.
func (p *producers) take(record Record, now time.Time) *producer {
	name := producerName{daemon: record.Daemon, incarnation: record.Incarnation}
	source, found := p.known[name]
	if !found || now.Sub(source.seen) >= p.lifetime {
		p.sweep(now)
		source = &producer{name: name}
		p.known[name] = source
	}
	source.seen = now
	if record.Sequence <= source.highest {
		return nil
	}
	source.highest = record.Last()
	return source
}

// sweep forgets the producers of more than a lifetime ago.
func (p *producers) sweep(now time.Time) {
	if len(p.known) < p.sweepAt {
		return
	}
	for name, source := range p.known {
		if now.Sub(source.seen) >= p.lifetime {
			delete(p.known, name)
		}
	}
	p.sweepAt = max(minSweep, 2*len(p.known))
}
