package inventory

import "time"

// outdatedRecord is a record that is older than what is known of its runner.
type outdatedRecord struct {
	runner Runner
	// until is the end of the OutdatedGrace.
	until time.Time
}

// isOutdated reports whether a record is older than what is known of its runner.
func (i *Inventory) isOutdated(runner Runner, now time.Time, interruption Interruption) bool {
	if now.Before(i.restoredUntil) {
		return i.isOutdatedAfterRestore(runner, interruption)
	}
	// The store may execute a write after later ones. Records without a start time have
	// no order.
	known, found := i.lastKnown(runner.ID)
	return found && !runner.StartedAt.IsZero() && runner.isOlderThan(known)
}

// isOutdatedAfterRestore is isOutdated for a record that was read after a restore. A removed
// runner may have written the last record known of it once more, but not within the restored
// copy.
func (i *Inventory) isOutdatedAfterRestore(runner Runner, interruption Interruption) bool {
	if known, found := i.runners[runner.ID]; found {
		return runner.isOlderThan(known)
	}
	gone, found := i.removed[runner.ID]
	if !found {
		return false
	}
	return runner.isOlderThan(gone.runner) || interruption == Restore && !gone.runner.isOlderThan(runner)
}

// lastKnown returns what is known of a runner, also after its removal.
func (i *Inventory) lastKnown(id string) (Runner, bool) {
	if known, found := i.runners[id]; found {
		return known, true
	}
	gone, found := i.removed[id]
	return gone.runner, found
}

// hold keeps an outdated record that may turn out to be right: the copy from which the store
// was restored may have the last record of its runner, and a runner whose clock was set back
// may have started anew. previous is the record of the runner that was held before, if any.
func (i *Inventory) hold(runner Runner, previous outdatedRecord, now time.Time) {
	known, _ := i.lastKnown(runner.ID)
	until := previous.until
	switch {
	case now.Before(i.restoredUntil):
		until = i.restoredUntil
	case !runner.StartedAt.Before(known.StartedAt):
		// The store has executed a write of the same start late.
		return
	case until.IsZero():
		until = now.Add(i.options.OutdatedGrace)
	}
	i.outdated[runner.ID] = outdatedRecord{runner: runner, until: until}
}

// applyHeld applies the outdated records that the store still holds at the end of the
// OutdatedGrace.
func (i *Inventory) applyHeld(now time.Time) []Change {
	if now.Before(i.restoredUntil) {
		return nil
	}
	var changes []Change
	for id, held := range i.outdated {
		if now.Before(held.until) {
			continue
		}
		delete(i.outdated, id)
		if change, changed := i.put(held.runner); changed {
			changes = append(changes, change)
		}
	}
	return changes
}
