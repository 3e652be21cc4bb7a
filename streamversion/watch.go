package streamversion

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// WatchOptions configures a Watch.
type WatchOptions struct {
	// Lifetime is the time in which every stream that has begun can no longer be resumed.
	Lifetime time.Duration
	// AbsenceDelay is how long the default version has no runner before all streams are recorded.
	AbsenceDelay time.Duration
	// RestoreDelay is how long a process that does not know the rule of before a restore of the
	// store waits for others to confirm it, and for their records of streams.
	RestoreDelay time.Duration
	// IsFirstStart is true if no stream can have begun before this process.
	IsFirstStart bool
}

// DefaultWatchOptions returns the options of a daemon. The lifetime covers the deadlines of callers
// and the spread of a rule to all daemons.
func DefaultWatchOptions() WatchOptions {
	return WatchOptions{Lifetime: time.Minute, AbsenceDelay: time.Second, RestoreDelay: 3 * time.Second}
}

// Watch follows which versions of each service have runners and says when its rule has to change. It
// is not safe for concurrent use.
type Watch struct {
	options   WatchOptions
	startedAt time.Time
	// noRecordsAt is when the store last held no record of any stream; zero if it was never seen
	// to hold none.
	noRecordsAt time.Time
	// epoch is the epoch of the store that was last seen, and hasEpoch is false before the first
	// one. restoredAt is when it last rose; zero if it has not.
	epoch      uint64
	hasEpoch   bool
	restoredAt time.Time
	services   map[string]*serviceWatch
}

// serviceWatch is the watch of one service.
type serviceWatch struct {
	// runners counts the runners by version, including those that are leaving.
	runners map[string]int
	// seen is when a version that has no runner now last had one.
	seen map[string]time.Time
	// rule is the rule of the highest generation that was read, and ruleSince when it was first
	// read.
	rule      Rule
	isKnown   bool
	ruleSince time.Time
	// wasConfirmed is true if the rule was read in the epoch of the store for which it was written.
	wasConfirmed bool
}

// NewWatch returns a watch that has seen no runner.
func NewWatch(options WatchOptions, now time.Time) *Watch {
	return &Watch{options: options, startedAt: now, services: make(map[string]*serviceWatch)}
}

// Versions are the versions of a service that have runners.
type Versions struct {
	Service string
	// Names are sorted.
	Names []string
}

// Observe replaces the runners. It returns the services whose versions have changed.
func (w *Watch) Observe(runners []inventory.Runner, now time.Time) []Versions {
	before := make(map[string][]string)
	for name, s := range w.services {
		before[name] = slices.Sorted(maps.Keys(s.runners))
		for version := range s.runners {
			s.seen[version] = now
		}
		s.runners = make(map[string]int)
	}
	for _, runner := range runners {
		s := w.service(runner.Service)
		s.runners[runner.Version]++
		s.seen[runner.Version] = now
	}
	var changed []Versions
	for _, name := range slices.Sorted(maps.Keys(w.services)) {
		names := slices.Sorted(maps.Keys(w.services[name].runners))
		if !slices.Equal(names, before[name]) {
			changed = append(changed, Versions{Service: name, Names: names})
		}
	}
	return changed
}

func (w *Watch) service(name string) *serviceWatch {
	s := w.services[name]
	if s == nil {
		s = &serviceWatch{runners: make(map[string]int), seen: make(map[string]time.Time)}
		w.services[name] = s
	}
	return s
}

// ObserveEpoch records the epoch of the store that is read now.
func (w *Watch) ObserveEpoch(epoch uint64, now time.Time) {
	if w.hasEpoch && epoch <= w.epoch {
		return
	}
	if w.hasEpoch {
		w.restoredAt = now
	}
	w.epoch, w.hasEpoch = epoch, true
}

// SetRule records the rule of a service that the store holds. A store that was restored from a copy
// may hold an older rule than the one that is known.
func (w *Watch) SetRule(service string, rule Rule, now time.Time) {
	s := w.service(service)
	if s.isKnown && rule.Generation <= s.rule.Generation {
		return
	}
	s.rule, s.isKnown, s.ruleSince = rule, true, now
	s.wasConfirmed = rule.Epoch == w.epoch
}

// Rule returns the newest rule of a service that is known.
func (w *Watch) Rule(service string) (Rule, bool) {
	s := w.services[service]
	if s == nil {
		return Rule{}, false
	}
	return s.rule, s.isKnown
}

// HasOneVersion reports whether all runners of a service have the same version now.
func (w *Watch) HasOneVersion(service string) bool {
	s := w.services[service]
	return s != nil && len(s.runners) == 1
}

// ObserveNoRecords records that the store held no record of any stream at a time. It says nothing if
// a restore may have lost some.
func (w *Watch) ObserveNoRecords(at time.Time) {
	if w.restoredAt.IsZero() || at.Sub(w.restoredAt) >= w.options.Lifetime {
		w.noRecordsAt = at
	}
}

// HasOnlyDefault reports whether only the default version can have begun the streams that live, as
// far as this process knows: no other one has had a runner within the lifetime of a stream, or since
// the store held no record.
func (w *Watch) HasOnlyDefault(service string, now time.Time) bool {
	s := w.services[service]
	if s == nil || !s.isKnown || s.rule.Default == "" {
		return false
	}
	since := now.Add(-w.options.Lifetime)
	if w.noRecordsAt.After(since) {
		since = w.noRecordsAt
	} else if w.startedAt.After(since) {
		return false
	}
	for version := range s.runners {
		if version != s.rule.Default {
			return false
		}
	}
	for version := range s.seen {
		if version != s.rule.Default && s.absence(version, now) < now.Sub(since) {
			return false
		}
	}
	return true
}

// Services returns the services that have or had runners, sorted.
func (w *Watch) Services() []string { return slices.Sorted(maps.Keys(w.services)) }

// Next returns the rule that a service needs in place of the one that is known, and false if it
// needs no other. The rules of the store have been read.
func (w *Watch) Next(service string, now time.Time) (Rule, bool) {
	s := w.services[service]
	if s == nil || len(s.runners) == 0 {
		return Rule{}, false
	}
	next, needed := w.next(service, s, now)
	return next.WithEpoch(w.epoch), needed
}

func (w *Watch) next(service string, s *serviceWatch, now time.Time) (Rule, bool) {
	switch {
	case !s.isKnown && w.options.IsFirstStart && w.restoredAt.IsZero():
		return Rule{}.next(s.mostCommon(), false), true
	case !s.isKnown:
		return Rule{}.next("", true), true
	case s.rule.Epoch < w.epoch:
		return w.confirm(service, s, now)
	case s.rule.RecordsAll:
		return w.nextDefault(s, now)
	case s.absence(s.rule.Default, now) >= w.options.AbsenceDelay:
		return s.rule.next(s.rule.Default, true), true
	}
	return Rule{}, false
}

// confirm returns the rule after a restore of the store. A process that has known the rule since
// before knows that it still holds, if no other version can have begun a stream: the records of
// processes that have ended may be lost. One that has read the rule afterwards does not know, and
// waits for others.
func (w *Watch) confirm(service string, s *serviceWatch, now time.Time) (Rule, bool) {
	if s.wasConfirmed && w.HasOnlyDefault(service, now) {
		return s.rule.next(s.rule.Default, s.rule.RecordsAll), true
	}
	return s.rule.next("", true), s.wasConfirmed || now.Sub(s.ruleSince) >= w.options.RestoreDelay
}

// nextDefault returns the rule with the next default version, once no stream without a record can
// be resumed.
func (w *Watch) nextDefault(s *serviceWatch, now time.Time) (Rule, bool) {
	if s.runners[s.rule.Default] > 0 {
		return s.rule.next(s.rule.Default, false), true
	}
	if now.Sub(s.ruleSince) < w.options.Lifetime || s.absence(s.rule.Default, now) < w.options.Lifetime {
		return Rule{}, false
	}
	return s.rule.next(s.mostCommon(), false), true
}

// absence returns the time since a version last had a runner; a version that was never seen is
// absent since before.
func (s *serviceWatch) absence(version string, now time.Time) time.Duration {
	if s.runners[version] > 0 {
		return 0
	}
	return now.Sub(s.seen[version])
}

// mostCommon returns the version that most runners have. There is at least one runner.
func (s *serviceWatch) mostCommon() string {
	versions := slices.Sorted(maps.Keys(s.runners))
	return slices.MaxFunc(versions, func(x, y string) int { return cmp.Compare(s.runners[x], s.runners[y]) })
}
