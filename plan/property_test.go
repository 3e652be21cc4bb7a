package plan_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// drawChange draws a change of a small list from small ranges, so that bases,
// identities and keys often collide.
func drawChange(t *rapid.T, newest uint64) plan.Change {
	change := plan.Change{
		Identity: fmt.Sprint(rapid.IntRange(1, 40).Draw(t, "identity")),
		Base:     rapid.Uint64Range(0, newest).Draw(t, "base"),
		List:     rapid.SampledFrom([]plan.ListName{plan.ListPlans, plan.ListAllowances}).Draw(t, "list"),
		Kind:     rapid.SampledFrom([]plan.Kind{plan.KindPublish, plan.KindAmend, plan.KindRemove}).Draw(t, "kind"),
	}
	name := fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "entry"))
	switch {
	case change.Kind == plan.KindRemove:
		change.Entry = name
	case change.List == plan.ListPlans:
		change.Plans = []plan.Plan{planOf(name, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")))}
	default:
		change.Allowances = []plan.Allowance{{Plan: name, Models: []string{"m"}}}
	}
	return change
}

// drawStream draws the records of a stream: valid and corrupted changes, and snapshots
// of any earlier state. Most changes have the current version as their base.
func drawStream(t *rapid.T) []hosting.Record {
	states := []plan.State{{}}
	var records []hosting.Record
	for offset := range rapid.IntRange(1, 30).Draw(t, "records") {
		state := states[len(states)-1]
		change := drawChange(t, uint64(offset))
		if rapid.IntRange(0, 2).Draw(t, "fresh") > 0 {
			change.Base = state.Version(change.List)
		}
		payload, _ := json.Marshal(change)
		switch rapid.IntRange(0, 9).Draw(t, "shape") {
		case 0:
			payload = rapid.SampledFrom(states).Draw(t, "snapshot").Snapshot()
		case 1:
			payload = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes")
		case 2:
			payload = payload[:rapid.IntRange(0, len(payload)).Draw(t, "cut")]
		}
		records = append(records, hosting.Record{Offset: uint64(offset), Payload: payload})
		state, _ = state.Apply(uint64(offset), payload)
		states = append(states, state)
	}
	return records
}

func applyRecords(records []hosting.Record) plan.State {
	var state plan.State
	for _, record := range records {
		state, _ = state.Apply(record.Offset, record.Payload)
	}
	return state
}

// isSame compares two states, including the identities that they keep.
func isSame(a, b plan.State) bool {
	return reflect.DeepEqual(a.Snapshot(), b.Snapshot())
}

func TestFollowersConvergeDespiteDuplicatesAndTrimming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawStream(t)
		want := applyRecords(records)
		follower := plan.NewFollower(plan.State{})
		steps := 0
		for trimmed := uint64(0); follower.NextOffset() < uint64(len(records)); steps++ {
			if steps > 10_000 {
				t.Fatalf("the follower does not reach the end of the stream, it is at offset %d", follower.NextOffset())
			}
			// Retention removes records while the follower reads.
			if rapid.IntRange(0, 9).Draw(t, "trim") == 0 {
				trimmed = rapid.Uint64Range(trimmed, uint64(len(records)-1)).Draw(t, "first")
			}
			if follower.NextOffset() < trimmed {
				follower = follower.WithTrimmed(trimmed)
			}
			before := follower.State().Offset()
			offset := follower.NextOffset()
			if rapid.IntRange(0, 4).Draw(t, "old") == 0 {
				offset = rapid.Uint64Range(0, offset).Draw(t, "offset")
			}
			follower, _ = follower.Apply(records[offset])
			if follower.State().Offset() < before {
				t.Fatalf("offset decreased from %d to %d", before, follower.State().Offset())
			}
			if at := follower.State().Offset(); !isSame(follower.State(), applyRecords(records[:at])) {
				t.Fatalf("state at %d differs from the state built from all records", at)
			}
		}
		if !follower.HasGap() && !isSame(follower.State(), want) {
			t.Fatalf("the final state differs from the state built from all records")
		}
	})
}

func TestExactlyOneConcurrentChangeIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := applyRecords(drawStream(t))
		list := rapid.SampledFrom([]plan.ListName{plan.ListPlans, plan.ListAllowances}).Draw(t, "list")
		accepted := 0
		base := state.Version(list)
		for racer := range rapid.IntRange(1, 5).Draw(t, "racers") {
			change := plan.Change{Identity: fmt.Sprint("racer", racer), Base: base, List: list, Kind: plan.KindPublish}
			payload, _ := change.Encode()
			var verdict plan.Verdict
			state, verdict = state.Apply(state.Offset(), payload)
			if verdict.Accepted {
				accepted++
			}
		}
		if accepted != 1 {
			t.Fatalf("%d of the concurrent changes were accepted, want 1", accepted)
		}
	})
}

func TestChangeTrackerFindsVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawStream(t)
		at := rapid.IntRange(0, len(records)-1).Draw(t, "own")
		base := rapid.IntRange(0, at).Draw(t, "read")
		tracker := plan.NewChangeTracker(applyRecords(records[:base]), records[at].Payload)
		_, want := applyRecords(records[:at]).Apply(records[at].Offset, records[at].Payload)
		isFirst := true
		for _, record := range records[base:] {
			isFirst = isFirst && (record.Offset >= uint64(at) || string(record.Payload) != string(records[at].Payload))
			tracker = tracker.Apply(record)
		}
		got, found := tracker.Verdict()
		if !found || (isFirst && !reflect.DeepEqual(got, want)) {
			t.Fatalf("verdict %+v (found %t), want %+v", got, found, want)
		}
	})
}

func TestRestoreRejectsCorruptedSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := applyRecords(drawStream(t)).Snapshot()
		at := rapid.IntRange(0, len(snapshot)-1).Draw(t, "at")
		damaged := append([]byte{}, snapshot...)
		damaged[at] ^= rapid.ByteRange(1, 255).Draw(t, "flip")
		restored, err := plan.Restore(damaged)
		intact, _ := plan.Restore(snapshot)
		if err == nil && !isSame(restored, intact) {
			t.Fatalf("a corrupted snapshot was restored")
		}
	})
}

func TestApplyDoesNotModifyEarlierStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := applyRecords(drawStream(t))
		before := string(state.Snapshot())
		one, _ := json.Marshal(drawChange(t, state.Offset()))
		two, _ := json.Marshal(drawChange(t, state.Offset()))
		first, _ := state.Apply(state.Offset(), one)
		firstBefore := string(first.Snapshot())
		_, _ = state.Apply(state.Offset(), two)
		if before != string(state.Snapshot()) || firstBefore != string(first.Snapshot()) {
			t.Fatalf("Apply modified its input state")
		}
	})
}
