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

// membership holds the roster and updates it from the VM list and the cloud's
// notices.
type membership struct {
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

func newMembership(common telemetry.Common, region string, list hosting.VMList, cloud hosting.Cloud, interval, longPoll time.Duration) *membership {
	m := &membership{
		Common:   common,
		region:   region,
		list:     list,
		cloud:    cloud,
		interval: interval,
		longPoll: longPoll,
		done:     make(chan struct{}),
	}
	empty := roster.New()
	m.current.Store(&empty)
	return m
}

// Roster returns the current roster.
func (m *membership) Roster() roster.Roster { return *m.current.Load() }

// apply applies an event to the roster, reports its effects and calls onChange.
func (m *membership) apply(event roster.Event) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	next, effects := m.Roster().Apply(event, m.Clock.Now())
	m.current.Store(&next)
	for _, effect := range effects {
		m.report(effect)
	}
	if _, listed := event.(roster.Listed); listed || len(effects) > 0 {
		m.onChange(next, effects)
	}
}

func (m *membership) report(effect roster.Effect) {
	m.Count("Roster."+string(effect.Kind), 1)
	m.Log.Info("backend server changed", "Change", effect.Kind, "VM", effect.VM.Name)
	m.Events.Record(telemetry.Event{Kind: string(effect.Kind), Backend: effect.VM.Name})
}

// run reads the VM list and the notices until ctx is done.
func (m *membership) run(ctx context.Context) {
	defer close(m.done)
	var readers sync.WaitGroup
	readers.Go(func() { m.readList(ctx) })
	readers.Go(func() { m.readNotices(ctx) })
	readers.Wait()
}

// readList polls the VM list. The roster is unchanged while the list can't be read.
func (m *membership) readList(ctx context.Context) {
	for {
		snapshot, err := m.list.VMs(ctx)
		if err == nil && snapshot.Version != m.Roster().Version() {
			m.apply(roster.Listed{Snapshot: m.relevant(snapshot)})
		}
		if err != nil {
			m.Count("Roster.ListFailed", 1)
		}
		if clock.Sleep(ctx, m.Clock, m.interval) != nil {
			return
		}
	}
}

// relevant removes the backend servers of other regions, to which this daemon sends
// no requests.
func (m *membership) relevant(snapshot hosting.VMSnapshot) hosting.VMSnapshot {
	kept := hosting.VMSnapshot{Version: snapshot.Version}
	for _, vm := range snapshot.VMs {
		if vm.Role == hosting.RoleEntry || vm.Region == m.region {
			kept.VMs = append(kept.VMs, vm)
		}
	}
	return kept
}

// readNotices long-polls the notices of the cloud.
func (m *membership) readNotices(ctx context.Context) {
	var last uint64
	for ctx.Err() == nil {
		notices, err := m.cloud.Notices(ctx, last, m.longPoll)
		if err != nil {
			m.Count("Roster.NoticesFailed", 1)
			// The loop condition checks ctx.
			_ = clock.Sleep(ctx, m.Clock, m.interval)
			continue
		}
		for _, notice := range notices {
			last = max(last, notice.Sequence)
			m.apply(roster.Noticed{Notice: notice})
		}
	}
}
