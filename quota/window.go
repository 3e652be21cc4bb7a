package quota

import "time"

// slotsPerWindow is the number of parts of a window whose units expire together.
const slotsPerWindow = 32

// windowSum adds up the units of the last window.
type windowSum struct {
	slots [slotsPerWindow]float64
	sum   float64
	// newest is the number of the slot that receives units now, counted from the Unix epoch.
	newest int64
}

// add adds units that were granted at a time.
func (w *windowSum) add(units float64, window time.Duration, now time.Time) {
	if window <= 0 {
		return
	}
	w.expire(window, now)
	w.slots[w.newest%slotsPerWindow] += units
	w.sum += units
}

// expire drops the units that are older than the window. Those of a slot expire together, when
// the newest of them do.
func (w *windowSum) expire(window time.Duration, now time.Time) {
	current := now.UnixNano() / int64(window/slotsPerWindow)
	for w.newest = max(w.newest, current-slotsPerWindow-1); w.newest < current; w.newest++ {
		next := (w.newest + 1) % slotsPerWindow
		w.sum -= w.slots[next]
		w.slots[next] = 0
	}
}

// windowGain is by how much faster the burst is paced out with each burst that is left in the
// window.
const windowGain = 4

// spendableInWindow returns the units that this process may grant of a quota that has been
// exhausted for a whole window. The platform allows the rate and one burst in each window, so
// that the burst is granted once more when the former one is a window old. unseen estimates what
// peers have granted since their reports.
func (l *Limiter) spendableInWindow(customer string, a *account, unseen float64, now time.Time) float64 {
	window := l.options.Tolerance.Window
	left := l.windowLeft(a, now) - unseen
	more := a.quota.Burst / window.Seconds() * max(min(windowGain*left/a.burst(), 1), -1)
	a.refillPace(l.share(customer, a, now)*(a.quota.Rate+more), now)
	// The level does not count here. It ends the pacing once the demand has fallen.
	a.level = max(a.level, -a.quota.Burst)
	return min(left, a.paceLevel)
}

// windowLeft returns the units that are known to be left in the window that ends now. The even
// share of peers that are not heard is set aside.
func (l *Limiter) windowLeft(a *account, now time.Time) float64 {
	window := l.options.Tolerance.Window
	a.granting.expire(window, now)
	total := a.quota.Rate*window.Seconds() + a.quota.Burst
	return total*l.heardShare(now) - a.granting.sum
}
