package versionlog_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// TestVersionIsFoundAfterAllProcessesAreGone guards against a version that dies with the process
// that began the stream.
func TestVersionIsFoundAfterAllProcessesAreGone(t *testing.T) {
	r := newRig(t)
	first := r.start("v1", "v1", "v1.1")
	r.awaitDefault(first, "v1")
	r.c.Check(first.NeedsRecord("desk", "v1"), qt.IsFalse)
	r.c.Check(first.NeedsRecord("desk", "v1.1"), qt.IsTrue)
	r.record(first, 1, "v1.1")
	first.Remember(1, "v1.1")
	r.c.Check(first.find(1), qt.Equals, "v1.1 from Memory")
	r.c.Check(first.find(2), qt.Equals, "v1 from Rule")
	first.stop()

	// The new process sees no runner of the old version.
	second := r.start("v1.1")
	r.c.Check(second.find(1), qt.Equals, "v1.1 from Record")
	r.c.Check(second.find(2), qt.Equals, "v1 from Rule")
}

// TestRecordsSurviveACompactionOfTheStore guards against records that are lost with the history of
// their topic.
func TestRecordsSurviveACompactionOfTheStore(t *testing.T) {
	r := newRig(t)
	first := r.start("v1", "v1", "v1.1")
	r.awaitDefault(first, "v1")
	second := r.start("v1", "v1.1")
	r.awaitDefault(second, "v1")
	r.record(first, 1, "v1.1")
	r.c.Check(second.find(1), qt.Equals, "v1.1 from Record")
	r.record(first, 2, "v1.1")
	r.store.DeleteHistory("keyed.streams")
	r.c.Check(second.find(2), qt.Equals, "v1.1 from Record")
	r.c.Check(r.start("v1", "v1.1").find(1), qt.Equals, "v1.1 from Record")
}

// TestAppendsOfUnknownOutcomeLoseNoRecord guards against a call without an answer that takes effect
// late and replaces the records of a later one.
func TestAppendsOfUnknownOutcomeLoseNoRecord(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		fault standin.Fault
	}{{"lost response", standin.FaultLostResponse}, {"executed late", standin.FaultLate}, {"no response", standin.FaultSilent}, {"refused", standin.FaultRefused}} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t)
			p := r.start("v1", "v1", "v1.1")
			r.awaitDefault(p, "v1")
			r.record(p, 1, "v1.1")
			var mutex sync.Mutex
			faults := 2
			r.store.SetFault(func(call standin.Call) standin.Fault {
				mutex.Lock()
				defer mutex.Unlock()
				if call.Path != standin.PathAppend || call.Topic != "keyed.streams" || faults == 0 {
					return standin.FaultNone
				}
				faults--
				return scenario.fault
			})
			r.record(p, 2, "v1.1")
			r.record(p, 3, "v1.1")
			time.Sleep(standin.LateBy)
			other := r.start("v1", "v1.1")
			for stream := streamversion.Stream(1); stream <= 3; stream++ {
				r.c.Check(other.find(stream), qt.Equals, "v1.1 from Record", qt.Commentf("stream %d", stream))
			}
		})
	}
}

// TestNewStreamsAvoidVersionsThatCannotBeRecorded guards against streams that wait for a store that
// takes no records although another version needs none.
func TestNewStreamsAvoidVersionsThatCannotBeRecorded(t *testing.T) {
	r := newRig(t)
	p := r.start("v1", "v1", "v1.1")
	r.awaitDefault(p, "v1")
	r.c.Check(p.VersionToBegin("desk"), qt.Equals, "")
	r.store.SetFault(func(standin.Call) standin.Fault { return standin.FaultRefused })
	recorded := p.Record(streamversion.Record{Stream: 1, Number: 1, Version: "v1.1"})
	r.eventually("new streams avoid v1.1", func() bool { return p.VersionToBegin("desk") == "v1" })
	r.store.SetFault(nil)
	<-recorded
	r.eventually("new streams use both versions", func() bool { return p.VersionToBegin("desk") == "" })
}

// TestOnlyUnwrittenRecordsAreWithdrawn guards against a record that the store takes after its stream
// has begun at another version.
func TestOnlyUnwrittenRecordsAreWithdrawn(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		fault standin.Fault
		want  bool
	}{
		{"refused", standin.FaultRefused, true},
		{"no response", standin.FaultSilent, false},
		{"executed late", standin.FaultLate, false},
		{"written", standin.FaultNone, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t)
			p := r.start("v1", "v1", "v1.1")
			r.awaitDefault(p, "v1")
			r.store.SetFault(func(standin.Call) standin.Fault { return scenario.fault })
			record := streamversion.Record{Stream: 1, Number: 1, Version: "v1.1"}
			p.Record(record)
			time.Sleep(150 * time.Millisecond)
			// A call may be under way for a moment.
			isWithdrawn := false
			for range 20 {
				isWithdrawn = isWithdrawn || p.Withdraw(record)
				time.Sleep(time.Millisecond)
			}
			r.c.Check(isWithdrawn, qt.Equals, scenario.want)
			r.store.SetFault(nil)
			time.Sleep(standin.LateBy)
			want := "v1.1 from Record"
			if scenario.want {
				want = "v1 from Rule"
			}
			r.eventually(want, func() bool { return r.start("v1", "v1.1").find(1) == want })
		})
	}
}

// TestUnreadableStoreJoinsNothing guards against a guess at the version of a stream.
func TestUnreadableStoreJoinsNothing(t *testing.T) {
	const unknown = "unknown: StoreUnavailable"
	for _, scenario := range []struct {
		name      string
		versions  []string
		hasRecord bool
		isCutOff  bool
		want      string
	}{
		{"one version and no record", []string{"v1"}, false, false, "v1 from Rule"},
		{"one version and the record of another one", []string{"v1"}, true, false, unknown},
		{"two versions", []string{"v1", "v1", "v1.1"}, false, false, unknown},
		{"cut off from the other daemons", []string{"v1"}, false, true, unknown},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t)
			first := r.start("v1")
			r.awaitDefault(first, "v1")
			if scenario.hasRecord {
				r.record(first, 7, "v1.1")
			}
			r.end(first)
			p := r.start(scenario.versions...)
			r.awaitDefault(p, "v1")
			r.cutOff(p, scenario.isCutOff)
			r.store.SetFault(func(standin.Call) standin.Fault { return standin.FaultRefused })
			time.Sleep(60 * time.Millisecond)
			r.c.Check(p.find(1), qt.Equals, scenario.want)
		})
	}
}

// TestSearchesDoNotWaitForASilentStore guards against callers that are each held until a call to the
// store times out.
func TestSearchesDoNotWaitForASilentStore(t *testing.T) {
	r := newRig(t)
	p := r.start("v1", "v1", "v1.1")
	r.awaitDefault(p, "v1")
	r.store.SetFault(func(standin.Call) standin.Fault { return standin.FaultSilent })
	time.Sleep(60 * time.Millisecond)
	r.c.Check(p.find(1), qt.Equals, "unknown: StoreUnavailable")
	before := len(r.store.Calls())
	for stream := range 20 {
		r.c.Check(p.find(streamversion.Stream(stream)), qt.Equals, "unknown: StoreUnavailable")
	}
	r.c.Check(len(r.store.Calls())-before < 20, qt.IsTrue, qt.Commentf("%d calls for 20 searches", len(r.store.Calls())-before))
	r.store.SetFault(nil)
	r.eventually("streams are found again", func() bool { return p.find(1) == "v1 from Rule" })
}

// TestStreamsWithoutAnID guards against a guess while streams of two versions may exist.
func TestStreamsWithoutAnID(t *testing.T) {
	r := newRig(t)
	p := r.start("v1")
	r.awaitDefault(p, "v1")
	withoutID := streamversion.Query{Service: "desk", Stream: 1}
	r.c.Check(describe(p.Find(context.Background(), withoutID)), qt.Equals, "v1 from Rule")
	r.record(p, 2, "v1.1")
	r.c.Check(describe(p.Find(context.Background(), withoutID)), qt.Equals, "unknown: NoID", qt.Commentf("a stream of another version exists"))
	p.SetRunners(runnersOf("v1", "v1.1"))
	r.c.Check(describe(p.Find(context.Background(), withoutID)), qt.Equals, "unknown: NoID")
}

// TestRestoredStoreJoinsNothing guards against records that an older copy of the store lacks.
func TestRestoredStoreJoinsNothing(t *testing.T) {
	r := newRig(t)
	p := r.start("v1", "v1", "v1.1")
	r.awaitDefault(p, "v1")
	copied := r.store.Snapshot()
	r.record(p, 1, "v1.1")
	other := r.start("v1", "v1.1")
	r.awaitDefault(other, "v1")
	r.store.Restore(copied)
	other.ObserveRestore(r.store.Epoch())
	r.c.Check(other.find(2), qt.Equals, "unknown: StoreRestored")
	p.ObserveRestore(r.store.Epoch())
	r.eventually("the record is written again", func() bool { return other.find(1) == "v1.1 from Record" })
	r.eventually("no stream lives that may have lost its record", func() bool { return other.find(2) == "v1 from Rule" })

	// Nobody is left who knows what the copy lacks.
	p.stop()
	other.stop()
	r.store.Restore(copied)
	fresh := r.start("v1", "v1.1")
	r.c.Check(fresh.find(1), qt.Matches, "unknown: .*")
	time.Sleep(400 * time.Millisecond)
	r.c.Check(fresh.find(1), qt.Equals, "unknown: NoRecord")
}

// TestSearchesShareReadings guards against a call to the store for each resumed stream when many
// callers come back at once.
func TestSearchesShareReadings(t *testing.T) {
	r := newRig(t)
	p := r.start("v1")
	r.awaitDefault(p, "v1")
	before := len(r.store.Calls())
	var searches sync.WaitGroup
	for stream := range 200 {
		searches.Go(func() { r.c.Check(p.find(streamversion.Stream(stream)), qt.Equals, "v1 from Rule") })
	}
	searches.Wait()
	r.c.Check(len(r.store.Calls())-before < 100, qt.IsTrue, qt.Commentf("%d calls", len(r.store.Calls())-before))
}

// TestOldBatchesAreRemoved guards against a topic that grows with each stream.
func TestOldBatchesAreRemoved(t *testing.T) {
	r := newRig(t)
	dead := r.start("v1", "v1.1")
	r.record(dead, 1, "v1.1")
	dead.stop()
	p := r.start("v1", "v1.1")
	for stream := streamversion.Stream(2); stream < 12; stream++ {
		r.record(p, stream, "v1.1")
		time.Sleep(30 * time.Millisecond)
	}
	r.c.Check(len(r.store.Keys("keyed.streams")) < 8, qt.IsTrue, qt.Commentf("many records share a batch"))
	r.eventually("all batches are removed", func() bool { return len(r.store.Keys("keyed.streams")) == 0 })
}

// TestDefaultVersionFollowsARelease guards against a default version that stays for ever, so that
// all streams need records, and against one that comes too early.
func TestDefaultVersionFollowsARelease(t *testing.T) {
	r := newRig(t)
	p := r.start("v1", "v1.1", "v1")
	r.awaitDefault(p, "v1")
	other := r.start("v1", "v1.1")
	p.SetRunners(runnersOf("v1.1"))
	other.SetRunners(runnersOf("v1.1"))
	r.eventually("all streams are recorded", func() bool { return p.NeedsRecord("desk", "v1") && other.NeedsRecord("desk", "v1") })
	r.c.Check(other.find(1), qt.Equals, "v1 from Rule", qt.Commentf("a stream that began before"))
	began := time.Now()
	r.awaitDefault(other, "v1.1")
	r.c.Check(time.Since(began) >= lifetime-100*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
	r.eventually("both processes know", func() bool { return !p.NeedsRecord("desk", "v1.1") })
}
