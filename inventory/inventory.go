package inventory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// Options sets how records are judged.
type Options struct {
	// LapseWait is how long a runner is kept whose record lapsed while the
	// store was away. One that lives has written again by then.
	LapseWait time.Duration
}

// Decoder returns the runner that a record describes.
type Decoder func(record latest.Record) (Runner, error)

// Inventory is the fold of the runners' records. It is not safe for use by
// several goroutines.
type Inventory struct {
	options Options
	decode  Decoder
	runners map[string]Runner
	// lapsed holds when runners end that lapsed while the store was away.
	lapsed map[string]time.Time
}

// New returns an inventory without runners.
func New(options Options, decode Decoder) *Inventory {
	return &Inventory{
		options: options, decode: decode,
		runners: make(map[string]Runner), lapsed: make(map[string]time.Time),
	}
}

// Change says what a record did to the inventory.
type Change struct {
	Runner Runner
	// Gone is true when the runner is no longer there.
	Gone bool
	// Unreadable is why the record names no runner, or nil.
	Unreadable error
}

// Apply takes in records. afterOutage says that the store was away until now,
// so that dropped records may only have lapsed meanwhile.
func (i *Inventory) Apply(records []latest.Record, now time.Time, afterOutage bool) []Change {
	var changes []Change
	for _, record := range records {
		if change, changed := i.apply(record, now, afterOutage); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

func (i *Inventory) apply(record latest.Record, now time.Time, afterOutage bool) (Change, bool) {
	held, known := i.runners[record.Key]
	if record.Dropped() {
		if known && afterOutage && held.State == Ready {
			i.lapsed[record.Key] = now.Add(i.options.LapseWait)
			return Change{}, false
		}
		return i.remove(record.Key)
	}
	runner, err := i.decode(record)
	if err != nil {
		change, _ := i.remove(record.Key)
		change.Unreadable = err
		return change, true
	}
	delete(i.lapsed, record.Key)
	i.runners[record.Key] = runner
	return Change{Runner: runner}, !known || held != runner
}

func (i *Inventory) remove(id string) (Change, bool) {
	runner, known := i.runners[id]
	delete(i.runners, id)
	delete(i.lapsed, id)
	return Change{Runner: runner, Gone: true}, known
}

// Expire removes runners that have not written again in time.
func (i *Inventory) Expire(now time.Time) []Change {
	var changes []Change
	for id, end := range i.lapsed {
		if now.Before(end) {
			continue
		}
		if change, known := i.remove(id); known {
			changes = append(changes, change)
		}
	}
	return changes
}

// Runners returns all runners by ID.
func (i *Inventory) Runners() []Runner {
	runners := make([]Runner, 0, len(i.runners))
	for _, runner := range i.runners {
		runners = append(runners, runner)
	}
	slices.SortFunc(runners, func(x, y Runner) int { return cmp.Compare(x.ID, y.ID) })
	return runners
}
