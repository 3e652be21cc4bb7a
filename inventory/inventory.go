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
	// went missing while the store was unavailable or was restored. A live runner has
	// written a new record by then.
	ExpiryGrace time.Duration
	// OutdatedGrace is how long an older record than the last known one is ignored: after
	// a restore of the store, or if it is of an earlier start of its runner. By then the
	// store has removed the records of runners that no longer write.
	OutdatedGrace time.Duration
	// RemovedRetention is how long the last record of a removed runner is
	// remembered. It exceeds the age of a copy from which the store is restored.
	RemovedRetention time.Duration
}

// Decoder decodes the runner that a record describes.
type Decoder func(record latest.Record) (Runner, error)

// Interruption says what preceded the records of one read.
type Interruption int

// The kinds of interruptions.
const (
	// NoInterruption means that the records follow those of the read before.
	NoInterruption Interruption = iota
	// Outage means that the store was unavailable: a tombstone may only mean that
	// a runner could not renew its record.
	Outage
	// Restore means that the store was restored from an older copy: a record may be
	// older than one that was read before, and a tombstone may only mean that the
	// copy lacks the record.
	Restore
)

// Inventory holds the runners according to their latest records. It is not safe for
// concurrent use.
type Inventory struct {
	options Options
	decode  Decoder
	runners map[string]Runner
	// expireAt holds the removal times of runners whose records went missing in an
	// interruption.
	expireAt map[string]time.Time
	// removed holds the last records of removed runners.
	removed map[string]removedRunner
	// restoredUntil is the end of the OutdatedGrace after a restore.
	restoredUntil time.Time
	// outdated holds the records that are ignored during the OutdatedGrace. Those
	// that the store still holds at its end are applied.
	outdated map[string]outdatedRecord
}

// removedRunner is the last state of a runner that was removed.
type removedRunner struct {
	runner Runner
	at     time.Time
}

// New returns an inventory without runners.
func New(options Options, decode Decoder) *Inventory {
	return &Inventory{
		options: options, decode: decode,
		runners: make(map[string]Runner), expireAt: make(map[string]time.Time),
		removed: make(map[string]removedRunner), outdated: make(map[string]outdatedRecord),
	}
}

// Change describes a change to the inventory.
type Change struct {
	Runner Runner
	// Removed is true if the runner was removed.
	Removed bool
	// Outdated is true if the record is older than what is known of the runner, so that
	// nothing changes.
	Outdated bool
	// DecodeError is the error from decoding the record, or nil.
	DecodeError error
}

// Apply applies the records of one read and returns the changes.
func (i *Inventory) Apply(records []latest.Record, now time.Time, interruption Interruption) []Change {
	if interruption == Restore {
		i.restoredUntil = now.Add(i.options.OutdatedGrace)
	}
	var changes []Change
	for _, record := range records {
		if change, changed := i.apply(record, now, interruption); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

func (i *Inventory) apply(record latest.Record, now time.Time, interruption Interruption) (Change, bool) {
	held := i.outdated[record.Key]
	delete(i.outdated, record.Key)
	if record.IsTombstone() {
		if known, found := i.runners[record.Key]; found && known.State == Ready && interruption != NoInterruption {
			i.expireAt[record.Key] = now.Add(i.options.ExpiryGrace)
			return Change{}, false
		}
		return i.remove(record.Key, now)
	}
	runner, err := i.decode(record)
	if err != nil {
		change, _ := i.remove(record.Key, now)
		change.DecodeError = err
		return change, true
	}
	if i.isOutdated(runner, now, interruption) {
		i.hold(runner, held, now)
		return Change{Runner: runner, Outdated: true}, true
	}
	return i.put(runner)
}

func (i *Inventory) put(runner Runner) (Change, bool) {
	previous, known := i.runners[runner.ID]
	delete(i.expireAt, runner.ID)
	delete(i.removed, runner.ID)
	i.runners[runner.ID] = runner
	return Change{Runner: runner}, !known || !previous.sameState(runner)
}

func (i *Inventory) remove(id string, now time.Time) (Change, bool) {
	runner, known := i.runners[id]
	if !known {
		return Change{}, false
	}
	delete(i.runners, id)
	delete(i.expireAt, id)
	i.removed[id] = removedRunner{runner: runner, at: now}
	return Change{Runner: runner, Removed: true}, true
}

// Expire removes the runners that have not written a new record within ExpiryGrace,
// and applies the records whose OutdatedGrace has ended.
func (i *Inventory) Expire(now time.Time) []Change {
	var changes []Change
	for id, end := range i.expireAt {
		if now.Before(end) {
			continue
		}
		if change, known := i.remove(id, now); known {
			changes = append(changes, change)
		}
	}
	for id, gone := range i.removed {
		if now.Sub(gone.at) >= i.options.RemovedRetention {
			delete(i.removed, id)
		}
	}
	return append(changes, i.applyHeld(now)...)
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
