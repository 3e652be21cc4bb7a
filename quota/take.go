package quota

import "time"

// Take grants units to a customer or fails with an *ExceededError. A grant may exceed
// the units left: otherwise a request above the burst would never be granted.
func (l *Limiter) Take(customer string, units float64, now time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.customers[customer]
	if a == nil || a.quota.Rate <= 0 {
		return nil
	}
	a.asked += units
	a.updateRate(units, now, l.options.RateTimeConstant)
	if err := l.check(customer, a, now); err != nil {
		return err
	}
	a.level -= units
	a.paceLevel -= units
	a.granted += units
	a.unreported.add(units)
	a.granting.add(units, l.options.Tolerance.Window, now)
	return nil
}

// Check returns the *ExceededError with which Take would fail now, or nil. It grants nothing, and
// counts units that are refused as asked for.
func (l *Limiter) Check(customer string, units float64, now time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.customers[customer]
	if a == nil || a.quota.Rate <= 0 {
		return nil
	}
	err := l.check(customer, a, now)
	if err != nil {
		a.asked += units
		a.updateRate(units, now, l.options.RateTimeConstant)
	}
	return err
}

// check returns an *ExceededError if no units are left. The mutex must be held.
func (l *Limiter) check(customer string, a *account, now time.Time) error {
	l.advance(customer, a, now)
	level := min(l.spendable(customer, a, now), l.unreportedLeft(customer, a, now))
	if level <= 0 {
		wait := time.Duration((1 - level) / a.quota.Rate * float64(time.Second))
		return &ExceededError{Customer: customer, Level: level, RetryAfter: wait}
	}
	return nil
}

// Refund refunds units that were granted but not used.
func (l *Limiter) Refund(customer string, units float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a := l.customers[customer]; a != nil && a.quota.Rate > 0 {
		a.level = min(a.level+units, a.quota.Burst)
		a.granted -= units
		a.unreported.refund(units)
	}
}
