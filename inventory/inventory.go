package inventory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// Options configures an Inventory.
type Options struct {
	// ExpiryGrace is how long a ready runner stays in the inventory after its record
	// expired while the store was unavailable. A live runner has written a new
	// record by then.
	ExpiryGrace time.Duration
}

// Decoder decodes the runner that a record describes.
type Decoder func(record latest.Record) (Runner, error)

// Inventory holds the runners according to their latest records. It is not safe for
// concurrent use.
type Inventory struct {
	options Options
	decode  Decoder
	runners map[string]Runner
	// expireAt holds the removal times of runners whose records expired while the
	// store was unavailable.
	expireAt map[string]time.Time
}

// New returns an inventory without runners.
func New(options Options, decode Decoder) *Inventory {
	return &Inventory{
		options: options, decode: decode,
		runners: make(map[string]Runner), expireAt: make(map[string]time.Time),
	}
}

// Change describes a change to the inventory.
type Change struct {
	Runner Runner
	// Removed is true if the runner was removed.
	Removed bool
	// DecodeError is the error from decoding the record, or nil.
	DecodeError error
}

// Apply applies records and returns the changes. afterOutage is true if the store
// was unavailable until now: a tombstone may then only mean that a runner could not
// renew its record.
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
	previous, known := i.runners[record.Key]
	if record.IsTombstone() {
		if known && afterOutage && previous.State == Ready {
			i.expireAt[record.Key] = now.Add(i.options.ExpiryGrace)
			return Change{}, false
		}
		return i.remove(record.Key)
	}
	runner, err := i.decode(record)
	if err != nil {
		change, _ := i.remove(record.Key)
		change.DecodeError = err
		return change, true
	}
	delete(i.expireAt, record.Key)
	i.runners[record.Key] = runner
	return Change{Runner: runner}, !known || previous != runner
}

func (i *Inventory) remove(id string) (Change, bool) {
	runner, known := i.runners[id]
	delete(i.runners, id)
	delete(i.expireAt, id)
	return Change{Runner: runner, Removed: true}, known
}

// Expire removes the runners that have not written a new record within ExpiryGrace.
func (i *Inventory) Expire(now time.Time) []Change {
	var changes []Change
	for id, end := range i.expireAt {
		if now.Before(end) {
			continue
		}
		if change, known := i.remove(id); known {
			changes = append(changes, change)
		}
	}
	return changes
}

// Runners returns all runners, sorted by ID.
func (i *Inventory) Runners() []Runner {
	runners := make([]Runner, 0, len(i.runners))
	for _, runner := range i.runners {
		runners = append(runners, runner)
	}
	slices.SortFunc(runners, func(x, y Runner) int { return cmp.Compare(x.ID, y.ID) })
	return runners
}
