package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Attempt is an attempt at a runner that a crash has broken off.
type Attempt struct {
	// Traits are the IDs of the traits of its request. They are not changed.
	Traits []string
	// Sent is when the attempt began.
	Sent time.Time
	// isOwn is true if this daemon has made it.
	isOwn bool
}

// crash is the end of an incarnation of a runner. It is immutable.
type crash struct {
	// runner identifies the incarnation.
	runner uint64
	at     time.Time
	// attempts holds the attempts that were broken off without an answer, one for each list
	// of traits.
	attempts []Attempt
}

func (c crash) compareTime(other crash) int {
	return cmp.Or(c.at.Compare(other.at), cmp.Compare(c.runner, other.runner))
}

// maxClockError bounds the error of times that other daemons have told.
const maxClockError = 100 * time.Millisecond

// merge returns the crash with further attempts at the runner, at most maxAttempts. Those that
// were sent after the crash did not cause it: the runner was dead.
func (c crash) merge(other crash, maxAttempts int) crash {
	merged := crash{runner: c.runner, at: c.at}
	if other.at.Before(c.at) {
		merged.at = other.at
	}
	for _, added := range slices.Concat(c.attempts, other.attempts) {
		if added.Sent.After(merged.at.Add(maxClockError)) {
			continue
		}
		i := slices.IndexFunc(merged.attempts, func(a Attempt) bool { return slices.Equal(a.Traits, added.Traits) })
		switch {
		case i >= 0:
			merged.attempts[i] = merged.attempts[i].merge(added)
		case len(merged.attempts) < maxAttempts:
			merged.attempts = append(merged.attempts, added)
		}
	}
	return merged
}

// merge returns the later one of two attempts with the same traits.
func (a Attempt) merge(other Attempt) Attempt {
	if other.Sent.After(a.Sent) {
		a.Sent = other.Sent
	}
	a.isOwn = a.isOwn || other.isOwn
	return a
}

// lastSent returns when the last attempt was sent.
func (c crash) lastSent() time.Time {
	var last time.Time
	for _, a := range c.attempts {
		last = maxTime(last, a.Sent)
	}
	return last
}

// traits returns the distinct traits of the attempts.
func (c crash) traits() map[string]bool {
	traits := make(map[string]bool)
	for _, a := range c.attempts {
		for _, trait := range a.Traits {
			traits[trait] = true
		}
	}
	return traits
}

// sentWith returns when the last attempt with all of the traits was sent, and false if there
// is none.
func (c crash) sentWith(traits []string) (time.Time, bool) {
	var last time.Time
	found := false
	for _, a := range c.attempts {
		if containsAll(a.Traits, traits) && (!found || a.Sent.After(last)) {
			last, found = a.Sent, true
		}
	}
	return last, found
}

// row counts crashes in a row: those of requests that were sent after the crash before.
// Crashes at the same time, such as those of a zone, have a common cause that is no
// request, and count once.
type row struct {
	// separation is how far apart crashes count each although the request was sent before the
	// earlier one, or zero if they never do.
	separation time.Duration
	count      int
	first      time.Time
	lastTime   time.Time
}

// add counts a crash of a request that was sent at a time. Crashes are added in the order of
// their times.
func (r row) add(sent, crashed time.Time) row {
	if r.count == 0 {
		return row{separation: r.separation, count: 1, first: crashed, lastTime: crashed}
	}
	if sent.After(r.lastTime) || r.separation > 0 && crashed.Sub(r.lastTime) >= r.separation {
		r.count++
		r.lastTime = crashed
	}
	return r
}
