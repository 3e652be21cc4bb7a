package claim

import "time"

// producerName identifies a process that writes to the claim stream.
type producerName struct {
	daemon      string
	incarnation string
}

// producer is the state of a process that writes to the claim stream.
type producer struct {
	name producerName
	// highestNumber is the highest number of an applied record. A record at or
	// below it is a duplicate left by a repeated or delayed append.
	highestNumber uint64
	// lastSeen is the log time of the last record. Duplicates count too: an
	// append that is repeated for a long time leaves a series of them, and would
	// be applied again if the producer were removed meanwhile.
	lastSeen time.Time
}

// producers are the processes that wrote within the last lifetime.
type producers struct {
	lifetime time.Duration
	known    map[producerName]*producer
	// sweepAt is the number of producers at which the next sweep is due.
	sweepAt int
}

// minSweepSize is the smallest number of producers worth a sweep.
const minSweepSize = 64

// accept returns the producer of a record and advances its highest number. It
// returns nil when the record is a duplicate.
func (p *producers) accept(record Record, now time.Time) *producer {
	name := producerName{daemon: record.Daemon, incarnation: record.Incarnation}
	source, found := p.known[name]
	if !found || now.Sub(source.lastSeen) >= p.lifetime {
		p.sweep(now)
		source = &producer{name: name}
		p.known[name] = source
	}
	source.lastSeen = now
	if record.Sequence <= source.highestNumber {
		return nil
	}
	source.highestNumber = record.LastNumber()
	return source
}

// sweep removes the producers that have not written for a lifetime.
func (p *producers) sweep(now time.Time) {
	if len(p.known) < p.sweepAt {
		return
	}
	for name, source := range p.known {
		if now.Sub(source.lastSeen) >= p.lifetime {
			delete(p.known, name)
		}
	}
	p.sweepAt = max(minSweepSize, 2*len(p.known))
}
