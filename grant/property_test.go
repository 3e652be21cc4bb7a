package grant_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/grant"
)

// options have a lifetime that no run of the model outlasts, so that a key
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

// process is a daemon with a clock of its own.
type process struct {
	owner  *grant.Owner
	book   *grant.Book
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

// world is a log that takes records at once, late, twice or never.
type world struct {
	now       time.Time
	log       []entry
	flight    []grant.Record
	processes []*process
	// runs has the claim under which each key was written.
	runs map[claim.Key]claim.Claim
}

func (w *world) start(t *rapid.T) {
	book := grant.NewBook(options)
	name := fmt.Sprint("d", len(w.processes))
	w.processes = append(w.processes, &process{
		owner: grant.NewOwner(name, "1", book), book: book, name: name,
		offset: time.Duration(rapid.IntRange(-99, 99).Draw(t, "offset")) * time.Second,
	})
}

func (w *world) local(p *process) time.Time { return w.now.Add(p.offset) }

// send appends a record; it may take effect later as well, or only.
func (w *world) send(t *rapid.T, record grant.Record) {
	fate := rapid.IntRange(0, 3).Draw(t, "fate")
	if fate <= 2 {
		w.log = append(w.log, entry{w.now, record})
	}
	if fate >= 2 {
		w.flight = append(w.flight, record)
	}
}

// take asks for the range, with proof of death only of a dead owner.
func (w *world) take(t *rapid.T, p *process) {
	proof := grant.ProofNone
	if owner := p.book.Owner(7); owner.Daemon != "" {
		for _, other := range w.processes {
			if other.name == owner.Daemon && !other.isDead {
				return
			}
		}
		proof = grant.ProofVMGone
	}
	w.send(t, p.owner.Take(7, proof, "", w.local(p)))
}

func (w *world) read(p *process, count int) {
	for ; count > 0 && p.next < len(w.log); count-- {
		next := w.log[p.next]
		_ = p.owner.Fold(uint64(p.next), next.at, next.record, w.local(p))
		p.next++
	}
}

func (w *world) decide(t *rapid.T, p *process) {
	decision, err := p.owner.Decide(rapid.SampledFrom(keys).Draw(t, "key"), 0, w.local(p))
	if err == nil && decision.Won {
		p.won = append(p.won, decision.Claim)
	}
}

// write writes under the oldest claim, or withdraws it.
func (w *world) write(t *rapid.T, p *process) {
	if len(p.won) == 0 {
		return
	}
	won := p.won[0]
	if rapid.IntRange(0, 5).Draw(t, "withdraw") == 0 {
		p.won = p.won[1:]
		p.owner.Withdraw(won)
		return
	}
	if !p.owner.MayWrite(won, w.local(p)) {
		return
	}
	p.won = p.won[1:]
	if other, found := w.runs[won.Key]; found {
		t.Fatalf("%+v and %+v were both written", other, won)
	}
	w.runs[won.Key] = won
}

// live returns a process that has not crashed.
func (w *world) live(t *rapid.T) *process {
	var alive []*process
	for _, p := range w.processes {
		if !p.isDead {
			alive = append(alive, p)
		}
	}
	return rapid.SampledFrom(alive).Draw(t, "process")
}

func (w *world) step(t *rapid.T) {
	p := w.live(t)
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
		w.send(t, p.owner.Unappended(7, w.local(p)))
		w.read(p, rapid.SampledFrom([]int{0, 99}).Draw(t, "count"))
	case "release":
		w.release(t, p)
	case "crash":
		p.isDead = true
		w.start(t)
	case "late":
		if len(w.flight) > 0 {
			w.log = append(w.log, entry{w.now, rapid.SampledFrom(w.flight).Draw(t, "record")})
		}
	case "wait":
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
	}
}

// release gives up the range as a process that stops does.
func (w *world) release(t *rapid.T, p *process) {
	p.owner.BeginRelease(7)
	w.send(t, p.owner.Unappended(7, w.local(p)))
	w.read(p, 99)
	if record, err := p.owner.Release(7, w.local(p)); err == nil {
		w.send(t, record)
		w.read(p, 99)
	}
}

func TestKeyIsWrittenOnceWhoeverOwnsItsRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1000, 0), runs: make(map[claim.Key]claim.Claim)}
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
