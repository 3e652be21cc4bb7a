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

// decode decodes the state from the first letter of a value, and the address from
// the rest.
func decode(record latest.Record) (inventory.Runner, error) {
	runner := inventory.Runner{ID: record.Key, Service: "desk", Address: string(record.Value[1:])}
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

func newInventory() *inventory.Inventory {
	return inventory.New(inventory.Options{ExpiryGrace: 2 * time.Second}, decode)
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
	c.Check(i.Apply(put("a", "r1", 0), start, false), qt.HasLen, 1)
	c.Check(i.Apply(put("a", "r1", 1), start, false), qt.HasLen, 0, qt.Commentf("a heartbeat changes nothing"))
	i.Apply(put("a", "l1", 2), start, false)
	c.Check(states(i), qt.DeepEquals, []string{"a1"})
	changes := i.Apply(put("a", "", 3), start, false)
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
			i.Apply(put("a", "r1", 0), start, false)
			c.Check(i.Apply(put("a", "", 1), start, true), qt.HasLen, 0)
			c.Check(i.Runners(), qt.HasLen, 1)
			if scenario.returns {
				i.Apply(put("a", "r1", 2), start.Add(time.Second), false)
			}
			i.Expire(start.Add(3 * time.Second))
			c.Check(i.Runners(), qt.HasLen, scenario.left)
		})
	}
}

func TestLeavingRunnerWhoseRecordExpiresIsRemoved(t *testing.T) {
	c := qt.New(t)
	i := newInventory()
	i.Apply(put("a", "l1", 0), start, false)
	i.Apply(put("a", "", 1), start, true)
	c.Check(i.Runners(), qt.HasLen, 0)
}

func TestUnreadableRecordRemovesTheRunner(t *testing.T) {
	c := qt.New(t)
	i := newInventory()
	i.Apply(put("a", "r1", 0), start, false)
	i.Apply(put("b", "r1", 1), start, false)
	changes := i.Apply(put("a", "x", 2), start, false)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].DecodeError, qt.Equals, error(unreadable{}))
	c.Check(states(i), qt.DeepEquals, []string{"b0"})
}
