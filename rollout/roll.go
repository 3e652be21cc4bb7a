package rollout

import (
	"slices"
	"time"
)

// roll is what a daemon knows of one order.
type roll struct {
	state State
	// knownAt is when the order began as this process has first learned. Other processes are
	// told this time and not the earliest one of all, since errors would add up from process to
	// process.
	knownAt time.Time
	// appliedAt is when this process entered the phase.
	appliedAt time.Time
	// stopped is true once this daemon or a peer has stopped sending requests to the target
	// on evidence, and result is this daemon's evidence for that, if it has any. stoppedAt is when
	// this daemon did so.
	stopped   bool
	stoppedAt time.Time
	result    Result
	// reports is nil for an order that is not the newest one.
	reports  *Reports
	tally    *Tally
	judgedAt time.Time
}

// learn takes over the earlier time and epoch of a record of the same order. It reports whether
// they are earlier than those known.
func (r *roll) learn(order Order) bool {
	known := &r.state.Order
	isEarlier := order.OrderedAt.Before(known.OrderedAt.Add(-minTimeChange))
	isEarlierEpoch := order.Position.Before(known.Position)
	if isEarlier {
		known.OrderedAt = order.OrderedAt
	}
	if isEarlierEpoch {
		known.Position = order.Position
	}
	return isEarlier || isEarlierEpoch
}

// refusesUntil returns until when all requests are refused: none may go to the target after a stop,
// and none to the old versions in Closing. It is zero if none are.
func (r *roll) refusesUntil(options Options) time.Time {
	if !r.stopped || r.state.Phase != Closing {
		return time.Time{}
	}
	since := r.stoppedAt
	if since.Before(r.appliedAt) {
		since = r.appliedAt
	}
	return since.Add(options.RefusalTime)
}

// minTimeChange is the least difference by which the time of an order is corrected. The ages in
// reports vary by the times that messages take.
const minTimeChange = 50 * time.Millisecond

// rolls holds the orders of one service, the newest last.
type rolls []*roll

// maxRolls bounds the orders of a service that are remembered.
const maxRolls = 6

// find returns what is known of an order, or nil.
func (r rolls) find(order Order) *roll {
	for _, known := range r {
		if known.state.Order.IsSame(order) {
			return known
		}
	}
	return nil
}

// newest returns the newest order, or an earlier one in Closing: this process may have said that it sends
// nothing to the old versions of that one, and the holder may complete it before it learns of a later one.
func (r rolls) newest() *roll {
	for _, known := range slices.Backward(r) {
		if known.state.Phase == Closing {
			return known
		}
	}
	return r[len(r)-1]
}

// excluded returns the versions that must not be used whatever the newest order says: the
// targets of the others that have not been completed.
func (r rolls) excluded() []string {
	var versions []string
	newest := r.newest()
	for i, known := range r {
		if known != newest && known.state.Order.Target != newest.state.Order.Target && r.isExcluded(i) {
			versions = append(versions, known.state.Order.Target)
		}
	}
	return versions
}

// isExcluded reports whether the target of an order that is not the newest must not be used.
func (r rolls) isExcluded(index int) bool {
	earlier := r[index].state
	return earlier.Phase != Completed && !r[index+1:].hasTarget(earlier.Order.Target)
}

// relevant returns the newest order and the last one, those before it whose targets must not be used, and the latest
// completed one: a daemon that has missed that would exclude the version that serves.
func (r rolls) relevant() rolls {
	var result rolls
	hasCompleted, newest := false, r.newest()
	for i, known := range slices.Backward(r) {
		isServing := known.state.Phase == Completed && !hasCompleted
		if i == len(r)-1 || known == newest || isServing || r.isExcluded(i) {
			result = append(result, known)
		}
		hasCompleted = hasCompleted || isServing
	}
	slices.Reverse(result)
	return result
}

// excludedUntil returns when the runners of all targets that were rolled back have stopped.
func (r rolls) excludedUntil() time.Time {
	var last time.Time
	for _, known := range r {
		if deadline := known.state.Order.Deadline(); deadline.After(last) {
			last = deadline
		}
	}
	return last.Add(settleTime)
}

func (r rolls) hasTarget(target string) bool {
	for _, known := range r {
		if known.state.Order.Target == target {
			return true
		}
	}
	return false
}
