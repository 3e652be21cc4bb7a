package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// keeper holds the roster and feeds it from the VM list and the cloud's
// notices.
type keeper struct {
	telemetry.Common
	list     platform.VMList
	cloud    platform.Cloud
	interval time.Duration
	longPoll time.Duration
	// changed is called after every change of the roster, in order. It must
	// not apply events.
	changed func(r roster.Roster, effects []roster.Effect)
	// done is closed when run has returned.
	done chan struct{}

	// applying makes changes and the calls of changed one at a time.
	applying sync.Mutex
	current  atomic.Pointer[roster.Roster]
}

func newKeeper(common telemetry.Common, list platform.VMList, cloud platform.Cloud, interval, longPoll time.Duration) *keeper {
	k := &keeper{
		Common:   common,
		list:     list,
		cloud:    cloud,
		interval: interval,
		longPoll: longPoll,
		done:     make(chan struct{}),
	}
	empty := roster.New()
	k.current.Store(&empty)
	return k
}

// Roster returns the current roster.
func (k *keeper) Roster() roster.Roster { return *k.current.Load() }

// apply changes the roster by an event and acts on what follows from it.
func (k *keeper) apply(event roster.Event) {
	k.applying.Lock()
	defer k.applying.Unlock()
	next, effects := k.Roster().Apply(event, k.Clock.Now())
	k.current.Store(&next)
	for _, effect := range effects {
		k.report(effect)
	}
	if _, listed := event.(roster.Listed); listed || len(effects) > 0 {
		k.changed(next, effects)
	}
}

func (k *keeper) report(effect roster.Effect) {
	k.Count("Roster."+string(effect.Kind), 1)
	k.Log.Info("backend server changed", "Change", effect.Kind, "VM", effect.VM.Name)
	k.Events.Record(telemetry.Event{Kind: string(effect.Kind), Backend: effect.VM.Name})
}

// run reads the VM list and the notices until ctx ends.
func (k *keeper) run(ctx context.Context) {
	defer close(k.done)
	var duties sync.WaitGroup
	duties.Go(func() { k.readList(ctx) })
	duties.Go(func() { k.readNotices(ctx) })
	duties.Wait()
}

// readList polls the VM list. A list that can't be read leaves the roster as
// it is.
func (k *keeper) readList(ctx context.Context) {
	for {
		snapshot, err := k.list.VMs(ctx)
		if err == nil && snapshot.Version != k.Roster().Version() {
			k.apply(roster.Listed{Snapshot: snapshot})
		}
		if err != nil {
			k.Count("Roster.ListFailed", 1)
		}
		if clock.Sleep(ctx, k.Clock, k.interval) != nil {
			return
		}
	}
}

// readNotices long-polls the notices of the cloud.
func (k *keeper) readNotices(ctx context.Context) {
	var last uint64
	for ctx.Err() == nil {
		notices, err := k.cloud.Notices(ctx, last, k.longPoll)
		if err != nil {
			k.Count("Roster.NoticesFailed", 1)
			// The loop sees the end of ctx.
			_ = clock.Sleep(ctx, k.Clock, k.interval)
			continue
		}
		for _, notice := range notices {
			last = max(last, notice.Sequence)
			k.apply(roster.Noticed{Notice: notice})
		}
	}
}
