package matrix

import (
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// never is mayFail of faults that every request survives.
func never(*script) bool { return false }

// always is mayFail of faults that may end every request.
func always(*script) bool { return true }

// unlessClaimed permits the end of a request that needs a claim and has none.
func unlessClaimed(s *script) bool {
	return s.shape.isKeyed() && (s.step == StepAccept || s.step == StepClaim)
}

// onceWritten permits the end of a request that must not be written again.
func onceWritten(s *script) bool {
	return !s.shape.isIdempotent() && isWritten(s.step)
}

// isWritten reports whether a backend server has the request at a step.
func isWritten(step Step) bool {
	switch step {
	case StepDispatch, StepFirstToken, StepStream, StepAnswer, StepDrain:
		return true
	}
	return false
}

// requestFaults has the faults of the rows that concern requests.
var requestFaults = map[Row]requestFault{
	RowReclaimWave: {cause: causeReclaim, mayFail: never},
	RowRefusedStart: {
		cause: func(s *script) action {
			s.record.addFault()
			for _, zone := range []string{zoneA, zoneB} {
				s.reclaim(s.first, zone)
			}
			return goOn
		},
		mayFail: always, then: replaceRunners,
	},
	RowDeathInReclaim: {cause: causeDeathInReclaim, mayFail: onceWritten},
	RowStoreDown:      {cause: func(s *script) action { return s.faultLog(logRefuses) }, mayFail: unlessClaimed},
	RowStoreSlow: {
		cause: func(s *script) action {
			s.record.addFault()
			s.hangLog(logHangsLate)
			return goOn
		},
		mayFail: never,
	},
	RowEffectWithoutAnswer: {cause: causeLostAnswer, mayFail: onceWritten},
	RowHolderPaused: {
		cause: func(s *script) action {
			s.record.addFault()
			s.sendWhilePaused()
			return goOn
		},
		mayFail: never,
	},
	RowCrashingRequest:  {cause: causeCrashes, mayFail: always, then: sendToAll},
	RowSilentConnection: {cause: causeSilence, mayFail: onceWritten},
	RowCrossedAnswer: {
		cause: func(s *script) action {
			s.record.addFault()
			return cross
		},
		mayFail: onceWritten,
		lacks:   func(kind shape, step Step) bool { return !kind.isChat() && step != StepDispatch },
	},
	RowPeersCutOneWay: {
		cause: func(s *script) action {
			s.cut(s.second, s.first)
			return s.sendAcrossCut()
		},
		mayFail: unlessClaimed,
	},
	RowPeersCutBothWays: {
		cause: func(s *script) action {
			s.cut(s.second, s.first)
			s.cut(s.first, s.second)
			return s.sendAcrossCut()
		},
		mayFail: unlessClaimed,
	},
	RowPlatformCutOneWay:   {cause: func(s *script) action { return s.cutPlatform(cutAnswers) }, mayFail: unlessClaimed},
	RowPlatformCutBothWays: {cause: func(s *script) action { return s.cutPlatform(cutBoth) }, mayFail: unlessClaimed},
	RowStoreDownAndDeath: {
		cause: func(s *script) action {
			s.log.set(logRefuses)
			return s.killFirst()
		},
		mayFail: never,
	},
	RowEffectAndPause: {
		cause: func(s *script) action {
			s.record.addFault()
			s.sendWhilePaused()
			return causeLostAnswer(s)
		},
		mayFail: onceWritten,
	},
	RowReclaimAndSilence: {
		cause: func(s *script) action {
			s.record.addFault()
			if s.shape.isChat() && s.shape.isIdempotent() {
				// The notice moves the stream; nobody waits for the silence.
				s.reclaim(s.first, zoneA)
				return hang
			}
			start := s.progressed()
			s.reclaim(s.first, zoneA)
			return s.hangUntilGivenUp(start)
		},
		mayFail: onceWritten,
	},
	RowDeathAndResend: {
		cause: func(s *script) action {
			given := s.killFirst()
			if s.shape == shapeCharge {
				return given
			}
			again, other := s.newRequest(), s.newRequest()
			s.help(func() { s.send(s.second, again) })
			s.help(func() { s.send(s.third, other) })
			return given
		},
		mayFail: never,
	},
}

// causeReclaim announces the stop of the own zone's VMs to the first daemon,
// and lets the others hear of it from peers.
func causeReclaim(s *script) action {
	s.reclaim(s.first, zoneA)
	s.spread()
	return goOn
}

// causeDeathInReclaim announces a reclaim and stops a VM before its time.
func causeDeathInReclaim(s *script) action {
	s.record.addFault()
	s.reclaim(s.first, zoneA)
	for _, r := range s.runners {
		if r.zone == zoneA {
			s.help(r.stop)
		}
	}
	if isWritten(s.step) {
		return abort
	}
	return goOn
}

// replaceRunners lets the list bring in backend servers once the cloud has
// capacity again: the announced reclaims are over, and the VMs that stand in
// for the new ones have other names.
func replaceRunners(s *script) {
	var vms []hosting.VM
	for _, vm := range s.vms() {
		if vm.Role == hosting.RoleEntry {
			vms = append(vms, vm)
		}
	}
	for _, zone := range []string{zoneA, zoneB} {
		r, err := newRunner(s.World, "runner-new-"+zone, zone)
		if err != nil {
			s.record.expect(false, err.Error())
			return
		}
		s.runners = append(s.runners, r)
		vms = append(vms, hosting.VM{Name: r.name, Role: hosting.RoleRunner, Region: region, Zone: zone})
	}
	for _, n := range s.nodes {
		n.apply(roster.Listed{Snapshot: hosting.VMSnapshot{Version: 2, VMs: vms}})
	}
}

func (s *script) faultLog(fault logFault) action {
	s.record.addFault()
	s.log.set(fault)
	return goOn
}

// causeLostAnswer loses the answer of the log before the request is written,
// and that of the backend server afterwards.
func causeLostAnswer(s *script) action {
	s.record.addFault()
	if isWritten(s.step) {
		return abort
	}
	s.log.queue(logLosesAnswer)
	return goOn
}

// causeCrashes makes the request crash each backend server that runs it.
func causeCrashes(s *script) action {
	s.record.addFault()
	for _, r := range s.runners {
		r.setCrashes(s.step)
	}
	return goOn
}

// sendToAll sends the request that crashes backend servers to every daemon.
func sendToAll(s *script) {
	for _, n := range s.nodes {
		s.spread()
		s.send(n, s.newRequest())
	}
}

// causeSilence silences the connection that the request uses at the step.
func causeSilence(s *script) action {
	s.record.addFault()
	if isWritten(s.step) {
		return s.hangUntilGivenUp(s.progressed())
	}
	s.hangLog(logHangs)
	return goOn
}

// sendAcrossCut sends the request to the second daemon, which does not reach
// the first one.
func (s *script) sendAcrossCut() action {
	s.record.addFault()
	s.send(s.second, s.newRequest())
	return goOn
}

// cutPlatform cuts the first daemon off from the log. A claim that waits for
// the lost answer lasts until the deadline.
func (s *script) cutPlatform(cut platformCut) action {
	s.record.addFault()
	s.first.log.setCut(cut)
	s.help(func() {
		if s.isLogAwaited() {
			s.Clock.Advance(deadline)
		}
	})
	return goOn
}

// killFirst ends the first daemon, and with it its connections.
func (s *script) killFirst() action {
	s.record.addFault()
	s.first.kill()
	if isWritten(s.step) {
		return abort
	}
	return goOn
}
