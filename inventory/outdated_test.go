package inventory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/latest"
)

// decodeStarted decodes values such as "ready 2 7": the state, the start in seconds and the
// sequence.
func decodeStarted(record latest.Record) (inventory.Runner, error) {
	runner := inventory.Runner{ID: record.Key, Service: "desk"}
	var state string
	var started int64
	if _, err := fmt.Sscan(string(record.Value), &state, &started, &runner.Sequence); err != nil {
		return inventory.Runner{}, err
	}
	runner.StartedAt = time.Unix(started, 0)
	if state == "leaving" {
		runner.State = inventory.Leaving
	}
	return runner, nil
}

// describe returns a runner in the form that decodeStarted reads.
func describe(i *inventory.Inventory) string {
	var runners []string
	for _, runner := range i.Runners() {
		state := "ready"
		if runner.State == inventory.Leaving {
			state = "leaving"
		}
		runners = append(runners, fmt.Sprint(state, " ", runner.StartedAt.Unix(), " ", runner.Sequence))
	}
	return strings.Join(runners, ", ")
}

// TestRecordThatIsWrittenLate guards against requests to a runner that leaves or has left: the
// store executes one of its heartbeats after its later records.
func TestRecordThatIsWrittenLate(t *testing.T) {
	for _, scenario := range []struct {
		name string
		// known are the values read before, and late is the one that is written late. An
		// empty value is a deletion.
		known []string
		late  string
		// next is read a second after it; "-" stands for none.
		next string
		// during is the runner before next, after that at its end, and atLast that after the
		// OutdatedGrace.
		during, after, atLast string
	}{
		{"runner leaves", []string{"ready 2 6", "leaving 2 7"}, "ready 2 4", "leaving 2 8", "leaving 2 7", "leaving 2 8", "leaving 2 8"},
		{"runner leaves and ends", []string{"leaving 2 7"}, "ready 2 4", "", "leaving 2 7", "", ""},
		{"runner leaves and its record stays", []string{"leaving 2 7"}, "ready 2 4", "-", "leaving 2 7", "leaving 2 7", "leaving 2 7"},
		{"runner has left", []string{"ready 2 6", "leaving 2 7", ""}, "ready 2 4", "", "", "", ""},
		{"runner has left, and the record stays", []string{"ready 2 6", ""}, "ready 2 4", "-", "", "", ""},
		{"runner was lost and is back", []string{"ready 2 6", ""}, "ready 2 7", "ready 2 8", "ready 2 7", "ready 2 8", "ready 2 8"},
		{"runner has started anew", []string{"leaving 2 7", "ready 5 1"}, "leaving 2 6", "ready 5 2", "ready 5 1", "ready 5 2", "ready 5 2"},
		{"runner starts anew", []string{"leaving 2 7"}, "ready 5 1", "ready 5 2", "ready 5 1", "ready 5 2", "ready 5 2"},
		{"runner starts anew after its clock was set back", []string{"ready 5 7"}, "ready 2 1", "ready 2 2", "ready 5 7", "ready 5 7", "ready 2 2"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			i := inventory.New(inventory.Options{OutdatedGrace: outdatedGrace, RemovedRetention: time.Minute}, decodeStarted)
			for _, value := range scenario.known {
				i.Apply(put("a", value, 0), start, inventory.NoInterruption)
			}
			i.Apply(put("a", scenario.late, 1), start, inventory.NoInterruption)
			c.Check(describe(i), qt.Equals, scenario.during)
			if scenario.next != "-" {
				i.Apply(put("a", scenario.next, 2), start.Add(time.Second), inventory.NoInterruption)
			}
			i.Expire(start.Add(time.Second))
			c.Check(describe(i), qt.Equals, scenario.after)
			i.Expire(start.Add(outdatedGrace))
			c.Check(describe(i), qt.Equals, scenario.atLast)
		})
	}
}

// TestOutdatedRecordIsReported guards against a record that is ignored without a trace.
func TestOutdatedRecordIsReported(t *testing.T) {
	c := qt.New(t)
	i := inventory.New(inventory.Options{OutdatedGrace: outdatedGrace, RemovedRetention: time.Minute}, decodeStarted)
	i.Apply(put("a", "leaving 2 7", 0), start, inventory.NoInterruption)
	changes := i.Apply(put("a", "ready 2 4", 1), start, inventory.NoInterruption)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Outdated, qt.IsTrue)
	c.Check(changes[0].Runner.Sequence, qt.Equals, uint64(4))
}
