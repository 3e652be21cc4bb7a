package rollout

import (
	"math"
	"slices"
	"time"
)

// Judge compares the target with the other versions. See docs/design/rollouts.md.
func Judge(sums Sums, options Options) Result {
	sums = sums.comparable()
	groups := sums.trial.groups()
	if len(groups) == 0 {
		return Result{}
	}
	// overall is the first result that is not Good, or that of the last test.
	overall := Result{Verdict: Good}
	stages := sums.trial.thresholds()
	limit := badEvidence(options, len(groups))
	for _, test := range []Test{TestFailures, TestTimes} {
		with := comparison{test: test, thresholds: stages}
		all := sums.trial.evidence(with)
		if found, isBad := all.worst(groups, limit, RuleTrial); isBad {
			return found
		}
		if found, isBad := sums.overLimit(all, with, groups, options); isBad {
			return found
		}
		recent := sums.recent(with, groups, options)
		switch {
		case recent.Verdict == Bad:
			return recent
		case overall.Verdict != Good:
		case recent.Verdict != Good:
			overall = recent
		default:
			overall = all.missing(groups, options)
		}
	}
	return overall
}

// badEvidence returns the evidence at which a group shows that the target is bad. It accounts
// for the number of groups that are looked at, with two tests each.
func badEvidence(options Options, groups int) float64 {
	return math.Log(2*float64(groups)) - math.Log(options.FalseBadRate)
}

// recent looks for a fault that began late, in windows up to now. If none is found, it returns
// the total of the window that is least clear of one, as Good if all are clear.
func (s *Sums) recent(with comparison, groups []group, options Options) Result {
	if s.isSwitch {
		with.background = &s.trial
		with.spread = spread(s.marks, with, s.cycle)
	}
	weakest, most := Result{Test: with.test}, math.Inf(-1)
	for _, window := range s.windows {
		evaluated := window.counts.evidence(with)
		if found, isBad := s.worstRecent(evaluated, groups, options); isBad {
			return found
		}
		if window.length < minWindow {
			continue
		}
		found := evaluated.against(group{route: allRoutes})
		lack := found.Evidence - s.clearEvidence(window, options)
		if lack > most {
			weakest, most = found, lack
		}
	}
	weakest.Rule = RuleRecent
	if most <= 0 && !math.IsInf(most, -1) && s.coversLateTurn() && s.hasResponsesToSwitch() {
		weakest.Verdict = Good
	}
	return weakest
}

// worstRecent returns the group with the strongest evidence in a window, and whether that shows that the target
// is bad. With turns, a window holds hardly more than one, in which a narrow group has few responses whose
// mixture of fast and slow ones varies: the number of windows is accounted for there.
func (s *Sums) worstRecent(evaluated evidence, groups []group, options Options) (Result, bool) {
	limit := badEvidence(options, len(groups))
	if s.cycle == 0 {
		return evaluated.worst(groups, limit, RuleRecent)
	}
	// The first group holds all cells.
	if found, isBad := evaluated.worst(groups[:1], limit, RuleRecent); isBad {
		return found, true
	}
	return evaluated.worst(groups[1:], badEvidence(options, len(windowLengths)*len(groups)), RuleRecent)
}

// reportAge is the age of the newest responses that the reports of a large group hold.
const reportAge = time.Second

// slowFactor times the mean time of the old versions is the time in which most responses of a slow
// version come.
const slowFactor = 4

// coversLateTurn reports whether there is a turn of the target in which a fault that began late shows,
// and whose responses have come. Without the slow ones a slow version looks as fast as the others.
func (s *Sums) coversLateTurn() bool {
	if s.isSwitch || s.cycle == 0 {
		return true
	}
	slow := min(slowFactor*s.trial.meanOldTime(), s.cycle)
	return s.sinceLate >= s.cycle+reportAge+slow
}

// hasResponsesToSwitch reports whether the target goes on responding after the switch, if there was one. Counts
// without a response give no evidence, which a switch may be completed with, also if the target hangs.
func (s *Sums) hasResponsesToSwitch() bool {
	return !s.isSwitch || !slices.ContainsFunc(s.windows, func(w window) bool {
		return w.length >= minWindow && w.counts.targetResponses() == 0
	})
}

// clearEvidence returns the evidence up to which a window is clear of a fault.
func (s *Sums) clearEvidence(w window, options Options) float64 {
	switch {
	case s.isSwitch:
		// The counts of the trial are of another time, so less evidence can be asked for.
		return options.SwitchEvidence
	case w.length >= s.sinceLate-reportAge, s.cycle > 0 && w.length >= maxCycle:
		// Such a window holds a whole turn, most of which may be older than a late fault.
		return -options.RecentEvidence
	default:
		// Short windows hold few responses.
		return -min(w.length.Seconds()*options.RecentEvidenceRate, options.RecentEvidence)
	}
}

// overLimit looks for groups with so many bad responses, LimitDelay ago already, that a bad
// version must be stopped soon. In these the target is bad unless the evidence is against it.
func (s *Sums) overLimit(all evidence, with comparison, groups []group, options Options) (Result, bool) {
	if len(s.earlier.routes) == 0 {
		return Result{}, false
	}
	for _, g := range groups {
		if !s.earlier.figuresOf(g, with).isOverLimit(with.test, options) {
			continue
		}
		if found := all.result(g); found.Evidence > -options.LimitEvidence {
			found.Verdict, found.Rule = Bad, RuleLimit
			return found, true
		}
	}
	return Result{}, false
}

// missing returns the group whose evidence against a bad version falls short the most, as Good
// if it suffices in all groups that matter.
func (e evidence) missing(groups []group, options Options) Result {
	weakest, most := Result{}, math.Inf(-1)
	for _, g := range groups {
		if !g.isRequired {
			continue
		}
		rate := options.FalseGoodRate
		if g.isNarrow() {
			rate = options.FalseGoodNarrowRate
		}
		found := e.against(g)
		if lack := found.Evidence - math.Log(rate); lack > most {
			weakest, most = found, lack
		}
	}
	weakest.Rule = RuleTrial
	if most < 0 {
		weakest.Verdict = Good
	}
	return weakest
}

// against returns the evidence of a group with that of the effect that is least excluded.
func (e evidence) against(g group) Result {
	found := e.result(g)
	byEffect, _ := e.ofGroup(g)
	found.Evidence = slices.Max(byEffect[:])
	return found
}
