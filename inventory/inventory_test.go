package inventory_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/latest"
)

type unreadable struct{}

func (unreadable) Error() string { return "unreadable" }

// decode decodes the state from the first letter of a value, the address from the
// second and the sequence from the third, if there is one.
func decode(record latest.Record) (inventory.Runner, error) {
	runner := inventory.Runner{ID: record.Key, Service: "desk", Address: string(record.Value[1:])}
	if len(record.Value) == 3 {
		runner.Address = string(record.Value[1:2])
		runner.Sequence = uint64(record.Value[2] - '0')
	}
	switch record.Value[0] {
	case 'r':
		return runner, nil
	case 'l':
		runner.State = inventory.Leaving
		return runner, nil
	default:
		return inventory.Runner{}, unreadable{}
	}
}

var start = time.Unix(1000, 0)

const outdatedGrace = 5 * time.Second

func newInventory() *inventory.Inventory {
	return inventory.New(inventory.Options{
		ExpiryGrace: 2 * time.Second, OutdatedGrace: outdatedGrace, RemovedRetention: time.Minute,
	}, decode)
}

func put(key, value string, offset uint64) []latest.Record {
	return []latest.Record{{Key: key, Value: []byte(value), Offset: offset}}
}

func states(i *inventory.Inventory) []string {
	var names []string
	for _, runner := range i.Runners() {
		names = append(names, fmt.Sprint(runner.ID, runner.State))
	}
	return names
}

func TestRunnerLifecycle(t *testing.T) {
	c := qt.New(t)
	i := newInventory()
	c.Check(i.Apply(put("a", "r1", 0), start, inventory.NoInterruption), qt.HasLen, 1)
	c.Check(i.Apply(put("a", "r1", 1), start, inventory.NoInterruption), qt.HasLen, 0, qt.Commentf("a heartbeat changes nothing"))
	i.Apply(put("a", "l1", 2), start, inventory.NoInterruption)
	c.Check(states(i), qt.DeepEquals, []string{"a1"})
	changes := i.Apply(put("a", "", 3), start, inventory.NoInterruption)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Removed, qt.IsTrue)
	c.Check(i.Runners(), qt.HasLen, 0)
}

func TestRunnerWhoseRecordExpiredDuringStoreOutage(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		returns bool
		left    int
	}{
		{"writes again", true, 1},
		{"stays missing", false, 0},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			i := newInventory()
			i.Apply(put("a", "r1", 0), start, inventory.NoInterruption)
			c.Check(i.Apply(put("a", "", 1), start, inventory.Outage), qt.HasLen, 0)
			c.Check(i.Runners(), qt.HasLen, 1)
			if scenario.returns {
				i.Apply(put("a", "r1", 2), start.Add(time.Second), inventory.NoInterruption)
			}
			i.Expire(start.Add(3 * time.Second))
			c.Check(i.Runners(), qt.HasLen, scenario.left)
		})
	}
}

func TestLeavingRunnerWhoseRecordExpiresIsRemoved(t *testing.T) {
	c := qt.New(t)
	i := newInventory()
	i.Apply(put("a", "l1", 0), start, inventory.NoInterruption)
	i.Apply(put("a", "", 1), start, inventory.Outage)
	c.Check(i.Runners(), qt.HasLen, 0)
}

func TestUnreadableRecordRemovesTheRunner(t *testing.T) {
	c := qt.New(t)
	i := newInventory()
	i.Apply(put("a", "r1", 0), start, inventory.NoInterruption)
	i.Apply(put("b", "r1", 1), start, inventory.NoInterruption)
	changes := i.Apply(put("a", "x", 2), start, inventory.NoInterruption)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].DecodeError, qt.Equals, error(unreadable{}))
	c.Check(states(i), qt.DeepEquals, []string{"b0"})
}

func TestUnreadableRecordOfUnknownRunnerRemovesNothing(t *testing.T) {
	c := qt.New(t)
	changes := newInventory().Apply(put("a", "x", 0), start, inventory.NoInterruption)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Removed, qt.IsFalse)
	c.Check(changes[0].DecodeError, qt.Equals, error(unreadable{}))
}

// TestRestoredStore covers a store that comes back from a copy which is older than what
// is known of a runner, and what the runner then writes again.
func TestRestoredStore(t *testing.T) {
	later := start.Add(time.Second)
	for _, scenario := range []struct {
		name string
		// known are the values read before the restore, and listed is the value in
		// the copy. An empty value is a deletion.
		known  []string
		listed string
		// written is the value written after the restore; "-" stands for none.
		written string
		// during and after are the states in the OutdatedGrace, once written has been
		// read, and after it.
		during, after []string
	}{
		{"runner leaves, copy says ready", []string{"r15", "l16"}, "r15", "-", []string{"a1"}, []string{"a0"}},
		{"runner leaves and says so again", []string{"r15", "l16"}, "r15", "l17", []string{"a1"}, []string{"a1"}},
		{"removed runner is in the copy", []string{"r15", ""}, "r15", "", nil, nil},
		{"removed runner is in the copy and stays there", []string{"r15", ""}, "r15", "-", nil, []string{"a0"}},
		{"removed runner is alive and writes again", []string{"r15", ""}, "r15", "r16", []string{"a0"}, []string{"a0"}},
		{"history of a removed runner is written again", []string{"r15", "l16", ""}, "r14", "r15", nil, []string{"a0"}},
		{"runner is not in the copy and writes again", []string{"r15"}, "", "r15", []string{"a0"}, []string{"a0"}},
		{"runner is not in the copy and stays missing", []string{"r15"}, "", "-", []string{"a0"}, nil},
		{"new runner after the restore", nil, "", "r11", []string{"a0"}, []string{"a0"}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			i := newInventory()
			for _, value := range scenario.known {
				i.Apply(put("a", value, 0), start, inventory.NoInterruption)
			}
			i.Apply(put("a", scenario.listed, 0), start, inventory.Restore)
			if scenario.written != "-" {
				i.Apply(put("a", scenario.written, 1), later, inventory.NoInterruption)
			}
			i.Expire(later)
			c.Check(states(i), qt.DeepEquals, scenario.during)
			i.Expire(start.Add(outdatedGrace))
			c.Check(states(i), qt.DeepEquals, scenario.after)
		})
	}
}

// TestOlderRecordWithoutStartTime covers a runner that restarts without a start time,
// so that its sequence numbers begin anew.
func TestOlderRecordWithoutStartTime(t *testing.T) {
	c := qt.New(t)
	i := newInventory()
	i.Apply(put("a", "r18", 0), start, inventory.NoInterruption)
	i.Apply(nil, start, inventory.Restore)
	c.Check(i.Apply(put("a", "r21", 1), start.Add(outdatedGrace), inventory.NoInterruption), qt.HasLen, 1)
	c.Check(i.Runners()[0].Address, qt.Equals, "2")
}
