package matrix

import (
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// never is mayFail of faults that every request survives.
func never(*requestScript) bool { return false }

// always is mayFail of faults that may end every request.
func always(*requestScript) bool { return true }

// ifClaimPending permits the end of a request that needs a claim and has none.
func ifClaimPending(s *requestScript) bool {
	return s.kind.isKeyed() && (s.step == StepAccept || s.step == StepClaim)
}

// ifNotRetryable permits the end of a request that must not be written again.
func ifNotRetryable(s *requestScript) bool {
	return !s.kind.isIdempotent() && isWritten(s.step)
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
	RowReclaimWave: {inject: injectReclaim, mayFail: never},
	RowRefusedStart: {
		inject: func(s *requestScript) action {
			s.record.addFault()
			for _, zone := range []string{zoneA, zoneB} {
				s.announceReclaim(s.first, zone)
			}
			return proceed
		},
		mayFail: always, beforeHeal: replaceRunners,
	},
	RowDeathInReclaim: {inject: injectDeathInReclaim, mayFail: ifNotRetryable},
	RowLogDown:      {inject: func(s *requestScript) action { return s.failLog(logRefuses) }, mayFail: ifClaimPending},
	RowLogSlow: {
		inject: func(s *requestScript) action {
			s.record.addFault()
			s.hangLogUntilTimeout(logHangsThenApplies)
			return proceed
		},
		mayFail: never,
	},
	RowEffectWithoutAnswer: {inject: injectLostAnswer, mayFail: ifNotRetryable},
	RowHolderPaused: {
		inject: func(s *requestScript) action {
			s.record.addFault()
			s.sendWhilePaused()
			return proceed
		},
		mayFail: never,
	},
	RowCrashingRequest:  {inject: injectCrashes, mayFail: always, beforeHeal: sendToAll},
	RowSilentConnection: {inject: injectSilence, mayFail: ifNotRetryable},
	RowCrossedAnswer: {
		inject: func(s *requestScript) action {
			s.record.addFault()
			return cross
		},
		mayFail: ifNotRetryable,
		excludes:   func(kind requestKind, step Step) bool { return !kind.isChat() && step != StepDispatch },
	},
	RowPeersCutOneWay: {
		inject: func(s *requestScript) action {
			s.cut(s.second, s.first)
			return s.sendAcrossCut()
		},
		mayFail: ifClaimPending,
	},
	RowPeersCutBothWays: {
		inject: func(s *requestScript) action {
			s.cut(s.second, s.first)
			s.cut(s.first, s.second)
			return s.sendAcrossCut()
		},
		mayFail: ifClaimPending,
	},
	RowLogCutOneWay:   {inject: func(s *requestScript) action { return s.cutLog(cutAnswers) }, mayFail: ifClaimPending},
	RowLogCutBothWays: {inject: func(s *requestScript) action { return s.cutLog(cutBoth) }, mayFail: ifClaimPending},
	RowLogDownAndDeath: {
		inject: func(s *requestScript) action {
			s.log.setFault(logRefuses)
			return s.killFirst()
		},
		mayFail: never,
	},
	RowEffectAndPause: {
		inject: func(s *requestScript) action {
			s.record.addFault()
			s.sendWhilePaused()
			return injectLostAnswer(s)
		},
		mayFail: ifNotRetryable,
	},
	RowReclaimAndSilence: {
		inject: func(s *requestScript) action {
			s.record.addFault()
			if s.kind.isChat() && s.kind.isIdempotent() {
				// The notice moves the stream; nobody waits for the silence.
				s.announceReclaim(s.first, zoneA)
				return hang
			}
			start := s.progressCount()
			s.announceReclaim(s.first, zoneA)
			return s.hangUntilTimeout(start)
		},
		mayFail: ifNotRetryable,
	},
	RowDeathAndResend: {
		inject: func(s *requestScript) action {
			given := s.killFirst()
			if s.kind == kindUnkeyedCall {
				return given
			}
			again, other := s.newRequest(), s.newRequest()
			s.runInBackground(func() { s.send(s.second, again) })
			s.runInBackground(func() { s.send(s.third, other) })
			return given
		},
		mayFail: never,
	},
}

// injectReclaim announces the stop of the own zone's VMs to the first daemon,
// and lets the others hear of it from peers.
func injectReclaim(s *requestScript) action {
	s.announceReclaim(s.first, zoneA)
	s.exchangeAll()
	return proceed
}

// injectDeathInReclaim announces a reclaim and stops a VM before its time.
func injectDeathInReclaim(s *requestScript) action {
	s.record.addFault()
	s.announceReclaim(s.first, zoneA)
	for _, r := range s.runners {
		if r.zone == zoneA {
			s.runInBackground(r.stop)
		}
	}
	if isWritten(s.step) {
		return abort
	}
	return proceed
}

// replaceRunners lets the list bring in backend servers once the cloud has
// capacity again: the announced reclaims are over, and the VMs that stand in
// for the new ones have other names.
func replaceRunners(s *requestScript) {
	var vms []hosting.VM
	for _, vm := range s.vms() {
		if vm.Role == hosting.RoleEntry {
			vms = append(vms, vm)
		}
	}
	for _, zone := range []string{zoneA, zoneB} {
		r, err := newRunner(s.Cluster, "runner-new-"+zone, zone)
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

func (s *requestScript) failLog(fault logFault) action {
	s.record.addFault()
	s.log.setFault(fault)
	return proceed
}

// injectLostAnswer loses the answer of the log before the request is written,
// and that of the backend server afterwards.
func injectLostAnswer(s *requestScript) action {
	s.record.addFault()
	if isWritten(s.step) {
		return abort
	}
	s.log.queueFaults(logLosesAnswer)
	return proceed
}

// injectCrashes makes the request crash each backend server that runs it.
func injectCrashes(s *requestScript) action {
	s.record.addFault()
	for _, r := range s.runners {
		r.setCrashStep(s.step)
	}
	return proceed
}

// sendToAll sends the request that crashes backend servers to every daemon.
func sendToAll(s *requestScript) {
	for _, n := range s.nodes {
		s.exchangeAll()
		s.send(n, s.newRequest())
	}
}

// injectSilence silences the connection that the request uses at the step.
func injectSilence(s *requestScript) action {
	s.record.addFault()
	if isWritten(s.step) {
		return s.hangUntilTimeout(s.progressCount())
	}
	s.hangLogUntilTimeout(logHangs)
	return proceed
}

// sendAcrossCut sends the request to the second daemon, which does not reach
// the first one.
func (s *requestScript) sendAcrossCut() action {
	s.record.addFault()
	s.send(s.second, s.newRequest())
	return proceed
}

// cutLog cuts the first daemon off from the log. A claim that waits for
// the lost answer lasts until the deadline.
func (s *requestScript) cutLog(cut logCut) action {
	s.record.addFault()
	s.first.log.setCut(cut)
	s.runInBackground(func() {
		if s.awaitHungAppend() {
			s.Clock.Advance(deadline)
		}
	})
	return proceed
}

// killFirst ends the first daemon, and with it its connections.
func (s *requestScript) killFirst() action {
	s.record.addFault()
	s.first.kill()
	if isWritten(s.step) {
		return abort
	}
	return proceed
}
