package claim_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

const lifetime = 10 * time.Second

// keys are few, so that claims of different processes collide.
var keys = []claim.Key{claim.NewKey("c", "s", "1"), claim.NewKey("c", "s", "2")}

// process is a simulated daemon that follows the protocol of package claimlog.
type process struct {
	name  string
	state *claim.State
	next  uint64
	// sent holds the numbers of the claims whose results the process has not read.
	sent map[uint64]bool
	// unreleased holds the claims that the process has won and not released.
	unreleased []claim.Claim
}

// simulation is a log and the processes that append claims to it.
type simulation struct {
	options   claim.Options
	now       time.Time
	records   []hosting.Record
	processes []*process
	// wins holds the claims that have won and have not been released.
	wins []claim.Claim
	// trims is true when the log may have removed old records before a process
	// starts.
	trims bool
}

func (w *simulation) append(payload []byte) {
	w.records = append(w.records, hosting.Record{Offset: uint64(len(w.records)), Payload: payload, Time: w.now})
}

// join starts a process. If trims is set, the log may have removed records that
// are at least a lifetime old, and the process starts at the oldest record left.
func (w *simulation) join(t *rapid.T) {
	old := 0
	for w.trims && old < len(w.records) && w.now.Sub(w.records[old].Time) >= lifetime {
		old++
	}
	first := uint64(rapid.IntRange(0, old).Draw(t, "first"))
	w.processes = append(w.processes, &process{
		name: fmt.Sprint("d", len(w.processes)), state: claim.NewState(w.options, first), next: 1, sent: map[uint64]bool{},
	})
}

// claim appends a record of at most one claim and at most one release.
func (w *simulation) claim(t *rapid.T, p *process) {
	record := claim.Record{Daemon: p.name, Incarnation: "1", Sequence: p.next}
	for range rapid.IntRange(0, 1).Draw(t, "claims") {
		record.Claims = append(record.Claims, claim.Entry{Key: rapid.SampledFrom(keys).Draw(t, "key")})
		p.sent[p.next+uint64(len(record.Claims)-1)] = true
	}
	if len(p.unreleased) > 0 && rapid.Bool().Draw(t, "release") {
		released := p.unreleased[0]
		p.unreleased = p.unreleased[1:]
		record.Releases = []claim.Release{{Key: released.Key, Number: released.Number}}
		w.wins = remove(w.wins, released)
	}
	p.next = record.LastNumber() + 1
	payload, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	w.append(payload)
}

func remove(claims []claim.Claim, released claim.Claim) []claim.Claim {
	var kept []claim.Claim
	for _, c := range claims {
		if !c.IsSame(released) {
			kept = append(kept, c)
		}
	}
	return kept
}

// read lets a process apply up to count records.
func (w *simulation) read(t *rapid.T, p *process, count int) {
	for ; count > 0 && p.state.Next() < uint64(len(w.records)); count-- {
		results, _ := p.state.Apply(w.records[p.state.Next()])
		for _, result := range results {
			own := result.Claim.Daemon == p.name && p.sent[result.Claim.Number]
			if own && result.Won {
				p.unreleased = append(p.unreleased, result.Claim)
				w.recordWin(t, result.Claim)
			}
			if own {
				delete(p.sent, result.Claim.Number)
			}
		}
	}
}

// recordWin adds a claim to wins and checks the invariant: the lifetimes of two
// winners of a key never overlap.
func (w *simulation) recordWin(t *rapid.T, won claim.Claim) {
	for _, other := range w.wins {
		if apart := won.Time.Sub(other.Time).Abs(); other.Key == won.Key && apart < lifetime {
			t.Fatalf("both claims give the right to write: %+v and %+v", other, won)
		}
	}
	w.wins = append(w.wins, won)
}

func TestKeyHasOneWinnerDespiteRepeatedAndTrimmedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{
			options: claim.Options{Lifetime: lifetime, MaxClaims: rapid.SampledFrom([]int{2, 5, 100}).Draw(t, "max")},
			now:     time.Unix(1000, 0),
			trims:   rapid.Bool().Draw(t, "trims"),
		}
		w.join(t)
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			w.step(t)
		}
		if !w.trims {
			w.checkAgreement(t)
		}
	})
}

// checkAgreement lets every process read the whole log. All states must then
// agree, and the winner of a key must be a claim whose process has read that
// result: a duplicate record must not create a winner that no process would ever
// release.
func (w *simulation) checkAgreement(t *rapid.T) {
	for _, p := range w.processes {
		w.read(t, p, len(w.records))
	}
	for _, key := range keys {
		first, found := w.processes[0].state.Lookup(key, w.processes[0].state.Now())
		for _, p := range w.processes {
			if other, _ := p.state.Lookup(key, p.state.Now()); other != first {
				t.Fatalf("%s has %+v as the winner, another process has %+v", p.name, other, first)
			}
		}
		if found && !slices.ContainsFunc(w.wins, first.IsSame) {
			t.Fatalf("%+v has won, but its process has not read that result", first)
		}
	}
}

// step mostly claims and reads, so that most keys are contested.
func (w *simulation) step(t *rapid.T) {
	p := rapid.SampledFrom(w.processes).Draw(t, "process")
	switch roll := rapid.IntRange(0, 19).Draw(t, "step"); {
	case roll < 8:
		w.claim(t, p)
		w.read(t, p, rapid.SampledFrom([]int{0, 1, 1000}).Draw(t, "count"))
	case roll < 13:
		w.read(t, p, rapid.IntRange(1, 9).Draw(t, "count"))
	case roll < 15 && len(w.records) > 0:
		repeated := rapid.SampledFrom(w.records).Draw(t, "repeated")
		if repeated.Offset < p.state.Next() {
			if results, _ := p.state.Apply(repeated); len(results) > 0 {
				t.Fatalf("record %d was applied twice", repeated.Offset)
			}
		}
		if w.now.Sub(repeated.Time) < lifetime {
			w.append(repeated.Payload)
		}
	case roll < 18:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
	case roll < 19 && len(w.processes) < 5:
		w.join(t)
	default:
		w.append(rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "bytes"))
	}
}

func TestRecordEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := claim.Record{Daemon: "d", Incarnation: "1", Sequence: rapid.Uint64Min(1).Draw(t, "sequence")}
		for i := range rapid.IntRange(0, 4).Draw(t, "claims") {
			key := claim.NewKey("c", "s", fmt.Sprint(i))
			record.Claims = append(record.Claims, claim.Entry{Key: key, Fingerprint: rapid.Uint64().Draw(t, "fingerprint")})
			record.Releases = append(record.Releases, claim.Release{Key: key, Number: rapid.Uint64().Draw(t, "number")})
		}
		payload, err := record.Encode()
		if err != nil {
			return
		}
		decoded, err := claim.Decode(payload)
		if err != nil || !reflect.DeepEqual(decoded, record) {
			t.Fatalf("record %+v was decoded as %+v: %v", record, decoded, err)
		}
	})
}
