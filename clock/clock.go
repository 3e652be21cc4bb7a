// Package clock defines the source of time that is injected into every component.
package clock

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock returns the time and creates timers. Tests use a fake.
type Clock = clockwork.Clock

// Real returns the machine's clock.
func Real() Clock { return clockwork.NewRealClock() }

// NewFake returns a clock that advances only when its Advance method is called.
func NewFake(now time.Time) *clockwork.FakeClock { return clockwork.NewFakeClockAt(now) }

// Sleep waits for d. It returns ctx.Err() early when ctx is done.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	timer := c.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
