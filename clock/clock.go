// Package clock defines the source of time that is passed to every part of
// the system.
package clock

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock tells the time and makes timers. Tests pass a fake.
type Clock = clockwork.Clock

// Real returns the clock of the machine.
func Real() Clock { return clockwork.NewRealClock() }

// NewFake returns a clock that moves only when its Advance method is called.
func NewFake(now time.Time) *clockwork.FakeClock { return clockwork.NewFakeClockAt(now) }

// Sleep waits for d. It returns early with ctx's error when ctx ends.
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
