package lease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/lease"
)

// process is a simulated daemon with a clock of its own.
type process struct {
	holder *lease.Holder
	// offset and rate derive the process's clock from the simulation's clock.
	offset time.Duration
	rate   float64
}

// simulation is a log that accepts records immediately, late, twice or never,
// and that removes old ones.
type simulation struct {
	now        time.Time
	log        []hosting.Record
	inFlight   [][]byte
	first      uint64
	processes  []*process
	startCount int
	// reference applies every record, and wins holds the offsets of the Acquire
	// records that won in it.
	reference *lease.State
	wins      map[uint64]bool
}

func newSimulation() *simulation {
	return &simulation{now: start, reference: lease.NewState(options, 0), wins: make(map[uint64]bool)}
}

func (w *simulation) localTime(p *process) time.Time {
	passed := float64(w.now.Sub(start)) * p.rate
	return start.Add(p.offset + time.Duration(passed))
}

// start adds a process with any clock offset and a clock rate within what the
// margin tolerates.
func (w *simulation) start(t *rapid.T) {
	w.startCount++
	identity := lease.Identity{Duty: "Orders", Daemon: "d", Incarnation: fmt.Sprint(w.startCount)}
	w.processes = append(w.processes, &process{
		holder: lease.NewHolder(identity, options, w.first),
		offset: time.Duration(rapid.IntRange(-99, 99).Draw(t, "offset")) * time.Second,
		rate:   rapid.SampledFrom([]float64{0.85, 1, 1.15}).Draw(t, "rate"),
	})
}

// send appends a record at once, later, both or not at all.
func (w *simulation) send(t *rapid.T, record lease.Record) {
	payload, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	if fate != 0 && fate != 1 {
		w.append(payload)
	}
	if fate <= 2 {
		w.inFlight = append(w.inFlight, payload)
	}
}

func (w *simulation) append(payload []byte) {
	entry := hosting.Record{Offset: uint64(len(w.log)), Payload: payload, Time: w.now}
	w.log = append(w.log, entry)
	if record, err := w.reference.Apply(entry); err == nil && record.Acquire != nil {
		w.wins[entry.Offset] = true
	}
}

// read applies records. An Acquire that wins in one state must win in the
// reference.
func (w *simulation) read(t *rapid.T, p *process, count int) {
	for ; count > 0; count-- {
		if p.holder.State().Next() < w.first {
			p.holder.Restart(w.first)
		}
		next := p.holder.State().Next()
		if next == uint64(len(w.log)) {
			return
		}
		record, err := p.holder.Apply(w.log[next])
		if err == nil && record.Acquire != nil && !w.wins[next] {
			t.Fatalf("record %d wins only in a state that started later", next)
		}
	}
}

func (w *simulation) step(t *rapid.T) {
	i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
	p := w.processes[i]
	switch rapid.SampledFrom([]string{
		"acquire", "acquire", "renew", "renew", "read", "read", "read", "wait", "wait", "wait",
		"late", "late", "release", "crash", "trim",
	}).Draw(t, "step") {
	case "acquire":
		w.send(t, p.holder.Acquire(w.localTime(p)))
	case "renew":
		if record, found := p.holder.Renew(w.localTime(p)); found {
			w.send(t, record)
		}
	case "read":
		w.read(t, p, rapid.SampledFrom([]int{1, 99, 99}).Draw(t, "count"))
	case "wait":
		low := rapid.SampledFrom([]int{0, 0, 0, 10000}).Draw(t, "low")
		w.now = w.now.Add(time.Duration(low+rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	case "late":
		if len(w.inFlight) > 0 {
			w.append(rapid.SampledFrom(w.inFlight).Draw(t, "record"))
		}
	case "release":
		if record, found := p.holder.Release(w.localTime(p)); found {
			w.send(t, record)
		}
	case "crash":
		w.processes = append(w.processes[:i], w.processes[i+1:]...)
		w.start(t)
	case "trim":
		w.first += uint64(rapid.IntRange(0, len(w.log)-int(w.first)).Draw(t, "trimmed"))
	}
}

// holders returns the numbers of all processes that may give orders now.
func (w *simulation) holders() []uint64 {
	var numbers []uint64
	for _, p := range w.processes {
		if number, isHolding := p.holder.Holding(w.localTime(p)); isHolding {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

func TestAtMostOneProcessHoldsLease(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		for range 3 {
			w.start(t)
		}
		for range 100 {
			w.step(t)
			holders := w.holders()
			if len(holders) > 1 {
				t.Fatalf("leases %v are held at the same time", holders)
			}
			held += len(holders)
		}
	})
	if held == 0 {
		t.Fatal("no process ever held the duty")
	}
}
