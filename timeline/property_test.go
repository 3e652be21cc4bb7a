package timeline_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// process is a simulated process with its own skewed clock and the stamps of all
// events that happened before the next event of the process.
type process struct {
	fake   *clockwork.FakeClock
	stamps *timeline.Clock
	past   []timeline.Stamp
}

func newProcess(t *rapid.T) *process {
	skew := time.Duration(rapid.IntRange(-4000, 4000).Draw(t, "skew")) * time.Millisecond
	fake := clock.NewFake(start.Add(skew))
	common := telemetry.NewCommon()
	common.Clock = fake
	return &process{fake: fake, stamps: timeline.NewClock(common)}
}

func TestStampsRiseFromCauseToEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := []*process{newProcess(t), newProcess(t), newProcess(t)}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			p := rapid.SampledFrom(processes).Draw(t, "process")
			p.fake.Advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "receives") {
				sender := rapid.SampledFrom(processes).Draw(t, "sender")
				sent := sender.stamps.Now()
				sender.past = append(sender.past, sent)
				p.stamps.Observe(sent)
				p.past = append(p.past, sender.past...)
			}
			stamp := p.stamps.Now()
			for _, cause := range p.past {
				if !cause.Before(stamp) {
					t.Fatalf("%v does not follow its cause %v", stamp, cause)
				}
			}
			p.past = append(p.past, stamp)
		}
	})
}
