package grant_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/grant"
)

// options have a lifetime that no run of the simulation exceeds, so that a key
// may be written under one claim only.
var options = grant.Options{Lifetime: time.Hour, MemoryDelay: 10 * time.Second}

// keys share a range, so that all processes compete for it.
var keys = func() []claim.Key {
	var found []claim.Key
	for i := 0; len(found) < 2; i++ {
		if key := claim.NewKey("c", "s", fmt.Sprint(i)); grant.RangeOf(key) == 7 {
			found = append(found, key)
		}
	}
	return found
}()

// process is a simulated daemon with a clock of its own.
type process struct {
	owner  *grant.Owner
	state  *grant.State
	name   string
	offset time.Duration
	next   int
	isDead bool
	won    []claim.Claim
}

type entry struct {
	at     time.Time
	record grant.Record
}

// simulation is a log that accepts records immediately, late, twice or never.
type simulation struct {
	now       time.Time
	log       []entry
	inFlight  []grant.Record
	processes []*process
	// writes holds the claim under which each key was written.
	writes map[claim.Key]claim.Claim
}

func (w *simulation) start(t *rapid.T) {
	state := grant.NewState(options)
	name := fmt.Sprint("d", len(w.processes))
	w.processes = append(w.processes, &process{
		owner: grant.NewOwner(name, "1", state), state: state, name: name,
		offset: time.Duration(rapid.IntRange(-99, 99).Draw(t, "offset")) * time.Second,
	})
}

func (w *simulation) localTime(p *process) time.Time { return w.now.Add(p.offset) }

// send appends a record at once, later, both or not at all.
func (w *simulation) send(t *rapid.T, record grant.Record) {
	fate := rapid.IntRange(0, 3).Draw(t, "fate")
	if fate <= 2 {
		w.log = append(w.log, entry{w.now, record})
	}
	if fate >= 2 {
		w.inFlight = append(w.inFlight, record)
	}
}

// take requests the range, with proof of death when its owner is dead.
func (w *simulation) take(t *rapid.T, p *process) {
	proof := grant.ProofNone
	if owner := p.state.CurrentGrant(7); owner.Daemon != "" {
		for _, other := range w.processes {
			if other.name == owner.Daemon && !other.isDead {
				return
			}
		}
		proof = grant.ProofVMGone
	}
	w.send(t, p.owner.Take(7, proof, "", w.localTime(p)))
}

func (w *simulation) read(p *process, count int) {
	for ; count > 0 && p.next < len(w.log); count-- {
		next := w.log[p.next]
		_ = p.owner.Apply(uint64(p.next), next.at, next.record, w.localTime(p))
		p.next++
	}
}

func (w *simulation) decide(t *rapid.T, p *process) {
	decision, err := p.owner.Decide(rapid.SampledFrom(keys).Draw(t, "key"), 0, w.localTime(p))
	if err == nil && decision.Won {
		p.won = append(p.won, decision.Claim)
	}
}

// write writes under the oldest claim, or withdraws it.
func (w *simulation) write(t *rapid.T, p *process) {
	if len(p.won) == 0 {
		return
	}
	won := p.won[0]
	if rapid.IntRange(0, 5).Draw(t, "withdraw") == 0 {
		p.won = p.won[1:]
		p.owner.Withdraw(won)
		return
	}
	if !p.owner.MayWrite(won, w.localTime(p)) {
		return
	}
	p.won = p.won[1:]
	if other, found := w.writes[won.Key]; found {
		t.Fatalf("one key was written under two claims: %+v and %+v", other, won)
	}
	w.writes[won.Key] = won
}

// liveProcess returns a process that has not crashed.
func (w *simulation) liveProcess(t *rapid.T) *process {
	var alive []*process
	for _, p := range w.processes {
		if !p.isDead {
			alive = append(alive, p)
		}
	}
	return rapid.SampledFrom(alive).Draw(t, "process")
}

func (w *simulation) step(t *rapid.T) {
	p := w.liveProcess(t)
	switch rapid.SampledFrom([]string{
		"take", "take", "read", "read", "read", "decide", "decide", "write", "write", "append", "append",
		"release", "release", "crash", "late", "late", "wait", "wait", "wait",
	}).Draw(t, "step") {
	case "take":
		w.take(t, p)
		w.read(p, 99)
	case "read":
		w.read(p, rapid.SampledFrom([]int{1, 99, 99}).Draw(t, "count"))
	case "decide":
		w.decide(t, p)
	case "write":
		w.write(t, p)
	case "append":
		w.send(t, p.owner.Unappended(7, w.localTime(p)))
		w.read(p, rapid.SampledFrom([]int{0, 99}).Draw(t, "count"))
	case "release":
		w.release(t, p)
	case "crash":
		p.isDead = true
		w.start(t)
	case "late":
		if len(w.inFlight) > 0 {
			w.log = append(w.log, entry{w.now, rapid.SampledFrom(w.inFlight).Draw(t, "record")})
		}
	case "wait":
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
	}
}

// release releases the range in the way of a process that stops.
func (w *simulation) release(t *rapid.T, p *process) {
	p.owner.BeginRelease(7)
	w.send(t, p.owner.Unappended(7, w.localTime(p)))
	w.read(p, 99)
	if record, err := p.owner.Release(7, w.localTime(p)); err == nil {
		w.send(t, record)
		w.read(p, 99)
	}
}

func TestKeyIsWrittenAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: time.Unix(1000, 0), writes: make(map[claim.Key]claim.Claim)}
		for range 2 {
			w.start(t)
		}
		w.take(t, w.processes[0])
		w.read(w.processes[0], 99)
		for range 100 {
			w.step(t)
		}
	})
}
