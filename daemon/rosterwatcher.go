package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// rosterWatcher holds the roster and updates it from the VM list and the cloud's
// notices.
type rosterWatcher struct {
	telemetry.Common
	// region is the region of the daemon.
	region   string
	list     hosting.VMList
	cloud    hosting.Cloud
	interval time.Duration
	longPoll time.Duration
	// onChange is called after every change of the roster, in order. It must not
	// call apply, which would deadlock.
	onChange func(r roster.Roster, effects []roster.Effect)
	// done is closed when run has returned.
	done chan struct{}

	// applyMu serializes changes of the roster and the calls of onChange.
	applyMu sync.Mutex
	current atomic.Pointer[roster.Roster]
}

func newRosterWatcher(common telemetry.Common, region string, list hosting.VMList, cloud hosting.Cloud, interval, longPoll time.Duration) *rosterWatcher {
	w := &rosterWatcher{
		Common:   common,
		region:   region,
		list:     list,
		cloud:    cloud,
		interval: interval,
		longPoll: longPoll,
		done:     make(chan struct{}),
	}
	empty := roster.New()
	w.current.Store(&empty)
	return w
}

// Roster returns the current roster.
func (w *rosterWatcher) Roster() roster.Roster { return *w.current.Load() }

// apply applies an event to the roster, reports its effects and calls onChange.
func (w *rosterWatcher) apply(event roster.Event) {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	next, effects := w.Roster().Apply(event, w.Clock.Now())
	w.current.Store(&next)
	for _, effect := range effects {
		w.report(effect)
	}
	if _, listed := event.(roster.Listed); listed || len(effects) > 0 {
		w.onChange(next, effects)
	}
}

func (w *rosterWatcher) report(effect roster.Effect) {
	w.Count("Roster."+string(effect.Kind), 1)
	w.Log.Info("VM changed", "Change", effect.Kind, "VM", effect.VM.Name)
	w.Events.Record(telemetry.Event{Kind: string(effect.Kind), Backend: effect.VM.Name})
}

// run reads the VM list and the notices until ctx is done.
func (w *rosterWatcher) run(ctx context.Context) {
	defer close(w.done)
	var readers sync.WaitGroup
	readers.Go(func() { w.readList(ctx) })
	readers.Go(func() { w.readNotices(ctx) })
	readers.Wait()
}

// readList polls the VM list. The roster is unchanged while the list can't be read.
func (w *rosterWatcher) readList(ctx context.Context) {
	for {
		snapshot, err := w.list.VMs(ctx)
		if err == nil && snapshot.Version != w.Roster().Version() {
			w.apply(roster.Listed{Snapshot: w.relevant(snapshot)})
		}
		if err != nil {
			w.Count("Roster.ListFailed", 1)
		}
		if clock.Sleep(ctx, w.Clock, w.interval) != nil {
			return
		}
	}
}

// relevant removes the backend servers of other regions, to which this daemon sends
// no requests.
func (w *rosterWatcher) relevant(snapshot hosting.VMSnapshot) hosting.VMSnapshot {
	kept := hosting.VMSnapshot{Version: snapshot.Version}
	for _, vm := range snapshot.VMs {
		if vm.Role == hosting.RoleEntry || vm.Region == w.region {
			kept.VMs = append(kept.VMs, vm)
		}
	}
	return kept
}

// readNotices long-polls the notices of the cloud.
func (w *rosterWatcher) readNotices(ctx context.Context) {
	var last uint64
	for ctx.Err() == nil {
		notices, err := w.cloud.Notices(ctx, last, w.longPoll)
		if err != nil {
			w.Count("Roster.NoticesFailed", 1)
			// The loop condition checks ctx.
			_ = clock.Sleep(ctx, w.Clock, w.interval)
			continue
		}
		for _, notice := range notices {
			last = max(last, notice.Sequence)
			w.apply(roster.Noticed{Notice: notice})
		}
	}
}
