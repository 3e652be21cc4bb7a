package suspect

import (
	"slices"
	"time"
)

// CrashReport is what a daemon tells others of traits that crash runners. Times are ages,
// since the clocks of the daemons differ. It and the structs in it are encoded as arrays: the
// order and the types of their fields are the wire format.
type CrashReport struct {
	Crashes []ReportedCrash
	// LifeSigns holds runners that seemed to have crashed and have sent data since.
	LifeSigns []ReportedLifeSign
	// Answers holds traits of crashes that were answered since.
	Answers  []ReportedAnswer
	Findings []ReportedFinding
}

// ReportedCrash is a crash and the attempts that may have caused it.
type ReportedCrash struct {
	Runner   uint64
	Age      time.Duration
	Attempts []ReportedAttempt
}

// ReportedAttempt is an attempt that began at an age.
type ReportedAttempt struct {
	Traits []string
	Age    time.Duration
}

// ReportedLifeSign is data that a runner has sent at an age.
type ReportedLifeSign struct {
	Runner uint64
	Age    time.Duration
}

// ReportedAnswer is an answer, to a request with a trait, that began at an age.
type ReportedAnswer struct {
	Trait string
	Age   time.Duration
}

// ReportedFinding is a Finding whose first and last crash have ages.
type ReportedFinding struct {
	Traits              []string
	SinceAge, LastAge   time.Duration
	Crashes, TrialsMade int
}

const (
	// sharedAge is the age up to which daemons tell each other what is not yet known to all.
	sharedAge = 5 * time.Second
	// maxSharedAttempts bounds the attempts in a report.
	maxSharedAttempts = 256
)

// Report returns what this daemon has observed lately, and the findings. With toNew it returns
// all it knows, for a daemon that has just started.
func (t *CrashTracker) Report(toNew bool, now time.Time) CrashReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.update(now)
	return CrashReport{
		Crashes: t.reportedCrashes(toNew, now), LifeSigns: t.reportedLifeSigns(now),
		Answers: t.reportedAnswers(toNew, now), Findings: t.reportedFindings(now),
	}
}

// reportedCrashes returns the newest crashes first. The mutex must be held.
func (t *CrashTracker) reportedCrashes(toNew bool, now time.Time) []ReportedCrash {
	var reported []ReportedCrash
	left := maxSharedAttempts
	crashes := t.sortedCrashes()
	slices.Reverse(crashes)
	for _, c := range crashes {
		if !toNew && now.Sub(c.at) > sharedAge {
			continue
		}
		r := ReportedCrash{Runner: c.runner, Age: now.Sub(c.at)}
		for _, a := range c.attempts {
			if left > 0 && (a.isOwn || toNew) {
				r.Attempts = append(r.Attempts, ReportedAttempt{Traits: a.Traits, Age: now.Sub(a.Sent)})
				left--
			}
		}
		if len(r.Attempts) > 0 {
			reported = append(reported, r)
		}
	}
	return reported
}

func (t *CrashTracker) reportedLifeSigns(now time.Time) []ReportedLifeSign {
	var signs []ReportedLifeSign
	for _, runner := range t.disproved.Keys() {
		if at, found := t.disproved.Peek(runner); found && now.Sub(at) <= sharedAge {
			signs = append(signs, ReportedLifeSign{Runner: runner, Age: now.Sub(at)})
		}
	}
	return signs
}

func (t *CrashTracker) reportedAnswers(toNew bool, now time.Time) []ReportedAnswer {
	var answers []ReportedAnswer
	for _, trait := range t.clearances.Keys() {
		clearedAt, _ := t.clearances.Peek(trait)
		began, found := t.answered.Peek(trait)
		if found && (toNew || now.Sub(clearedAt) <= sharedAge) {
			answers = append(answers, ReportedAnswer{Trait: trait, Age: now.Sub(began)})
		}
	}
	return answers
}

func (t *CrashTracker) reportedFindings(now time.Time) []ReportedFinding {
	var reported []ReportedFinding
	for _, f := range t.sortedFindings() {
		reported = append(reported, ReportedFinding{
			Traits: f.Traits, SinceAge: now.Sub(f.Since), LastAge: now.Sub(f.Last), Crashes: f.Crashes, TrialsMade: f.Trials,
		})
	}
	return reported
}

// Merge applies the report of another daemon that was made at a reading of this daemon's clock.
func (t *CrashTracker) Merge(report CrashReport, made, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, answer := range report.Answers {
		t.clear(answer.Trait, made.Add(-answer.Age), now)
	}
	for _, sign := range report.LifeSigns {
		t.disprove(sign.Runner, made.Add(-sign.Age))
	}
	for _, reported := range report.Crashes {
		t.addCrash(reported.crash(made), now)
	}
	for _, reported := range report.Findings {
		t.mergeFinding(reported.finding(made), now)
	}
	t.update(now)
}

func (r ReportedCrash) crash(made time.Time) crash {
	c := crash{runner: r.Runner, at: made.Add(-r.Age)}
	for _, a := range r.Attempts {
		c.attempts = append(c.attempts, Attempt{Traits: a.Traits, Sent: made.Add(-a.Age)})
	}
	return c
}

func (r ReportedFinding) finding(made time.Time) Finding {
	return Finding{
		Traits: r.Traits, Since: made.Add(-r.SinceAge), Last: made.Add(-r.LastAge), Crashes: r.Crashes, Trials: r.TrialsMade,
	}
}

// mergeFinding adds a finding of another daemon without the traits that this one knows to be
// sound, and lets the other one know of those. The mutex must be held.
func (t *CrashTracker) mergeFinding(f Finding, now time.Time) {
	if now.Sub(f.Last) >= t.options.Lifetime {
		return
	}
	for _, trait := range f.Traits {
		if t.isCleared(trait, f.Since) {
			t.clearances.Add(trait, now)
			f = f.without(trait)
		}
	}
	if len(f.Traits) > 0 {
		t.found(f)
	}
}
