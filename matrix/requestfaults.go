package matrix

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// never is mayFail for faults that every request survives.
func never(*requestScript) bool { return false }

// always is mayFail for faults that may fail every request.
func always(*requestScript) bool { return true }

// ifClaimPending is mayFail for faults that may fail a request that needs a claim
// and has not won it yet.
func ifClaimPending(s *requestScript) bool {
	return s.kind.isKeyed() && (s.step == StepAccept || s.step == StepClaim)
}

// ifNotRetryable is mayFail for faults that may fail a request that must not be
// written to a second backend server.
func ifNotRetryable(s *requestScript) bool {
	return !s.kind.isIdempotent() && isWritten(s.step)
}

// isWritten reports whether the request has been written to a backend server before
// the step.
func isWritten(step Step) bool {
	switch step {
	case StepDispatch, StepFirstToken, StepStream, StepAnswer, StepDrain:
		return true
	}
	return false
}

// requestFaults holds the faults that are injected into requests.
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
	RowLogDown:        {inject: func(s *requestScript) action { return s.failLog(logRefuses) }, mayFail: ifClaimPending},
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
	RowCrashingRequest:      {inject: injectCrashes, mayFail: always, beforeHeal: sendToAll},
	RowSilentConnection:     {inject: injectSilence, mayFail: ifNotRetryable},
	RowSilenceAndRejections: {inject: injectSilenceAndRejections, mayFail: never},
	RowCrossedAnswer: {
		inject: func(s *requestScript) action {
			s.record.addFault()
			return cross
		},
		mayFail:  ifNotRetryable,
		excludes: func(kind requestKind, step Step) bool { return !kind.isChat() && step != StepDispatch },
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
				// The notice moves the stream, so that no timeout is needed.
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
			result := s.killFirst()
			if s.kind == kindUnkeyedCall {
				return result
			}
			again, other := s.newRequest(), s.newRequest()
			s.runInBackground(func() { s.send(s.second, again) })
			s.runInBackground(func() { s.send(s.third, other) })
			return result
		},
		mayFail: never,
	},
}

// injectReclaim announces the reclaim of the first daemon's zone to that daemon, and
// spreads it to the others by gossip.
func injectReclaim(s *requestScript) action {
	s.announceReclaim(s.first, zoneA)
	s.exchangeAll()
	return proceed
}

// injectDeathInReclaim announces a reclaim and stops the VMs before its deadline.
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

// replaceRunners simulates that the cloud has capacity again: a new VM list replaces
// the reclaimed runners by new ones with other names.
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

// injectLostAnswer loses the answer of the log if the request is not yet written to a
// backend server, and the answer of the backend server otherwise.
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

// injectSilence hangs the connection that the request uses at the step: to the
// backend server if the request is written, else to the log.
func injectSilence(s *requestScript) action {
	s.record.addFault()
	if isWritten(s.step) {
		return s.hangUntilTimeout(s.progressCount())
	}
	s.hangLogUntilTimeout(logHangs)
	return proceed
}

// injectSilenceAndRejections keeps the backend server silent for longer than each silence
// timeout, while all others reject requests.
func injectSilenceAndRejections(s *requestScript) action {
	s.record.addFault()
	for _, r := range s.runners {
		r.setRejecting(true)
	}
	for range 10 {
		s.Clock.Advance(10 * time.Second)
		time.Sleep(5 * pollInterval)
	}
	for _, r := range s.runners {
		r.setRejecting(false)
	}
	return proceed
}

// sendAcrossCut sends the request to the second daemon, which cannot reach the first
// one.
func (s *requestScript) sendAcrossCut() action {
	s.record.addFault()
	s.send(s.second, s.newRequest())
	return proceed
}

// cutLog cuts the first daemon off from the log. If an append hangs, the clock is
// advanced to the deadline of the request, since the claim waits that long for the
// lost answer.
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

// killFirst kills the first daemon and its connection to the backend server.
func (s *requestScript) killFirst() action {
	s.record.addFault()
	s.first.kill()
	if isWritten(s.step) {
		return abort
	}
	return proceed
}
