package rollout

import "time"

// Inputs is what the holder of the duties knows of a roll-out.
type Inputs struct {
	// Fence is the holder's fencing token.
	Fence uint64
	// Result is the judgement over the reports of all daemons.
	Result Result
	// Stopped is true if a daemon has stopped sending requests to the target on evidence.
	Stopped bool
	// Drained is true if no reachable daemon has a request at an old runner or has lately started one.
	// Quiet is true if none has lately started one.
	Drained, Quiet bool
	// Closed is true if all reachable daemons have been in Closing for a time and have no request at
	// an old runner.
	Closed bool
	// Idle is true if no reachable daemon has a request in flight at an old runner.
	Idle bool
	// DrainTime is the expected time until the requests and streams of old runners have ended.
	DrainTime time.Duration
	// TargetRunners counts the runners of the target that are not leaving, and OldRunners all
	// known runners of other versions: those that are leaving may have streams.
	TargetRunners, OldRunners int
}

// Next returns the state that follows from the inputs, or the state itself. The holder of the
// duties writes the state with a conditional write and applies it only once that has succeeded,
// so that two holders can't reach different terminal states.
func (s State) Next(inputs Inputs, options Options, now time.Time) State {
	switch s.Phase {
	case Unknown:
		return s.afterOrder(inputs, options, now)
	case Trial:
		return s.afterTrial(inputs, options, now)
	case Switch:
		return s.afterSwitch(inputs, options, now)
	case Closing:
		return s.afterClosing(inputs, options, now)
	default:
		return s
	}
}

// enter returns the state of the same order in another phase.
func (s State) enter(phase Phase, reason Reason, inputs Inputs) State {
	return State{Order: s.Order, Phase: phase, Reason: reason, Fence: inputs.Fence}
}

func (s State) afterOrder(inputs Inputs, options Options, now time.Time) State {
	switch {
	case inputs.servesAlone() && inputs.Idle:
		return s.enter(Completed, ReasonAlone, inputs)
	case !now.Before(s.Order.lastSwitch(inputs.DrainTime, options)):
		return s.enter(RolledBack, ReasonUndecided, inputs)
	case inputs.servesAlone():
		// A trial has no other version to compare with. The reports of all daemons are to come.
		return s
	default:
		return s.enter(Trial, ReasonOrdered, inputs)
	}
}

// servesAlone reports whether no runner of another version is known.
func (i Inputs) servesAlone() bool { return i.TargetRunners > 0 && i.OldRunners == 0 }

func (s State) afterTrial(inputs Inputs, options Options, now time.Time) State {
	isEarly := now.Before(s.Order.trialEnd(inputs.DrainTime, options))
	isLate := !now.Before(s.Order.lastSwitch(inputs.DrainTime, options))
	switch {
	case inputs.Result.Verdict == Bad:
		return s.enter(RolledBack, ReasonBad, inputs)
	case inputs.Stopped:
		return s.enter(RolledBack, ReasonStopped, inputs)
	case isLate:
		return s.enter(RolledBack, ReasonUndecided, inputs)
	case isEarly || inputs.Result.Verdict != Good || inputs.TargetRunners == 0:
		return s
	default:
		return s.enter(Switch, ReasonGood, inputs)
	}
}

func (s State) afterSwitch(inputs Inputs, options Options, now time.Time) State {
	switch {
	case inputs.Result.Verdict == Bad:
		return s.enter(RolledBack, ReasonBad, inputs)
	case inputs.Stopped:
		return s.enter(RolledBack, ReasonStopped, inputs)
	case s.mayClose(inputs, options, now) && inputs.TargetRunners > 0:
		return s.enter(Closing, ReasonDrained, inputs)
	case !now.Before(s.Order.Deadline().Add(-options.WriteTime)):
		return s.enter(RolledBack, ReasonNotDrained, inputs)
	default:
		return s
	}
}

// mayClose reports whether the old versions may be closed. Streams that break off can't go on there
// afterwards, and a stop then refuses requests, so the end of the streams and the result are waited
// for while there is time.
func (s State) mayClose(inputs Inputs, options Options, now time.Time) bool {
	if !now.Before(s.Order.Deadline().Add(-s.Order.endReserve(options) - options.WriteTime)) {
		return inputs.Quiet
	}
	return inputs.Drained && inputs.Result.Verdict == Good
}

func (s State) afterClosing(inputs Inputs, options Options, now time.Time) State {
	switch {
	case inputs.Result.Verdict == Bad:
		return s.enter(RolledBack, ReasonBad, inputs)
	case inputs.Stopped:
		return s.enter(RolledBack, ReasonStopped, inputs)
	case inputs.TargetRunners == 0 && inputs.OldRunners > 0:
		// All requests are refused.
		return s.enter(RolledBack, ReasonNoTarget, inputs)
	case inputs.Closed && inputs.Result.Verdict == Good && inputs.TargetRunners > 0:
		return s.enter(Completed, ReasonDrained, inputs)
	case !now.Before(s.Order.Deadline().Add(-options.WriteTime)):
		return s.enter(RolledBack, ReasonNotDrained, inputs)
	default:
		return s
	}
}

// trialEnd returns when a trial may end at the earliest: after a part of the period, or later if
// the streams of the other versions still have time to end, since a fault may appear late.
func (o Order) trialEnd(drainTime time.Duration, options Options) time.Time {
	late := min(options.LateFaultTime, o.part(options.MaxLateFaultShare))
	earliest := o.OrderedAt.Add(o.part(options.MinTrialShare) + late)
	reserved := time.Duration(options.DrainFactor*float64(drainTime)) + options.EndReserve + options.SwitchTime
	if byDrain := o.Deadline().Add(-reserved); byDrain.After(earliest) {
		return byDrain
	}
	return earliest
}

// lastSwitch returns when a trial must have ended for the order to be complete at its deadline.
// Few requests take as long as the longest one, so not all of its time is reserved.
func (o Order) lastSwitch(drainTime time.Duration, options Options) time.Time {
	return o.Deadline().Add(-min(drainTime, o.endReserve(options)) - options.WriteTime)
}

// endReserve returns the part of the period that is reserved for what follows the trial.
func (o Order) endReserve(options Options) time.Duration {
	return max(options.EndReserve, o.part(options.MaxDrainShare))
}

// part returns a part of the period.
func (o Order) part(share float64) time.Duration { return time.Duration(share * float64(o.Period)) }
