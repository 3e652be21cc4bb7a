package roster

import "time"

func (e Failed) apply(r Roster, now time.Time) (Roster, []Effect) {
	known, listed := r.member(e.VM)
	if !listed || known.State == Leaving {
		return r, nil
	}
	member := *known
	member.failures++
	member.answers = 0
	if member.failures < FailuresToSuspect {
		return r.with(member), nil
	}
	var effects []Effect
	if member.State != Suspected {
		effects = append(effects, Effect{Kind: Doubted, VM: member.VM})
	}
	member.State = Suspected
	member.ProbeAt = now.Add(probeDelay(member.failures))
	return r.with(member), effects
}

func (e Answered) apply(r Roster, now time.Time) (Roster, []Effect) {
	known, listed := r.member(e.VM)
	if !listed || known.State == Leaving || known.failures == 0 {
		return r, nil
	}
	member := *known
	if member.State == Serving {
		member.failures = 0
		return r.with(member), nil
	}
	member.answers++
	member.ProbeAt = now
	if member.answers < AnswersToRestore {
		return r.with(member), nil
	}
	member.State = Serving
	member.failures, member.answers = 0, 0
	member.ProbeAt = time.Time{}
	return r.with(member), []Effect{{Kind: Restored, VM: member.VM}}
}

func (e Probed) apply(r Roster, now time.Time) (Roster, []Effect) {
	known, listed := r.member(e.VM)
	if !listed || known.State != Suspected {
		return r, nil
	}
	member := *known
	member.ProbeAt = now.Add(ProbeTimeout)
	return r.with(member), nil
}

// probeDelay returns the time until the next probe after that many failures
// in a row.
func probeDelay(failures int) time.Duration {
	delay := ProbeDelay
	for range failures - FailuresToSuspect {
		delay *= 2
		if delay >= MaxProbeDelay {
			return MaxProbeDelay
		}
	}
	return delay
}
