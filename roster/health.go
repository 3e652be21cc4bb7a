package roster

import "time"

func (e Failed) apply(r Roster, now time.Time) (Roster, []Effect) {
	known, listed := r.member(e.VM)
	if !listed || known.State == Leaving {
		return r, nil
	}
	member := *known
	member.failures++
	member.probesSucceeded = 0
	if member.failures < FailuresToSuspect {
		return r.withMember(member), nil
	}
	var effects []Effect
	if member.State != Suspected {
		effects = append(effects, Effect{Kind: BecameSuspected, VM: member.VM})
	}
	member.State = Suspected
	member.ProbeAt = now.Add(probeDelay(member.failures))
	return r.withMember(member), effects
}

func (e Succeeded) apply(r Roster, now time.Time) (Roster, []Effect) {
	known, listed := r.member(e.VM)
	if !listed || known.State == Leaving || known.failures == 0 {
		return r, nil
	}
	member := *known
	if member.State == Serving {
		member.failures = 0
		return r.withMember(member), nil
	}
	member.probesSucceeded++
	member.ProbeAt = now
	if member.probesSucceeded < ProbesToRestore {
		return r.withMember(member), nil
	}
	member.State = Serving
	member.failures, member.probesSucceeded = 0, 0
	member.ProbeAt = time.Time{}
	return r.withMember(member), []Effect{{Kind: Restored, VM: member.VM}}
}

func (e Probed) apply(r Roster, now time.Time) (Roster, []Effect) {
	known, listed := r.member(e.VM)
	if !listed || known.State != Suspected {
		return r, nil
	}
	member := *known
	member.ProbeAt = now.Add(ProbeTimeout)
	return r.withMember(member), nil
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
