package peer

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler replaces the other parts of a daemon.
type fakeHandler struct {
	mutex    sync.Mutex
	own      Digest
	updates  []Digest
	snapshot []byte
	offset   uint64
	answers  map[string]Answer
	// answering receives a value when Answer is called, which then waits for release;
	// nil does not wait.
	answering, release chan struct{}
	// merged receives a value when the mesh has passed a digest to Merge.
	merged chan struct{}
}

func (h *fakeHandler) Digest() Digest {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	own := h.own
	own.ConfigurationOffset = h.offset
	return own
}

func (h *fakeHandler) Merge(update Digest) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.updates = append(h.updates, update)
	select {
	case h.merged <- struct{}{}:
	default:
	}
}

// await blocks until a merged digest matches wanted.
func (h *fakeHandler) await(wanted func(Digest) bool) {
	for {
		h.mutex.Lock()
		found := slices.ContainsFunc(h.updates, wanted)
		h.mutex.Unlock()
		if found {
			return
		}
		<-h.merged
	}
}

// last returns the digest of the latest call of Merge.
func (h *fakeHandler) last() Digest {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.updates[len(h.updates)-1]
}

// hasLeaving reports whether a merged digest had a leaving notice of the VM.
func (h *fakeHandler) hasLeaving(vm string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.ContainsFunc(h.updates, announces(vm))
}

// announces returns a function that reports whether a digest has a leaving notice
// of the VM.
func announces(vm string) func(Digest) bool {
	return func(update Digest) bool {
		return slices.ContainsFunc(update.Leaving, func(leaving Leaving) bool { return leaving.VM == vm })
	}
}

func (h *fakeHandler) Configuration() ([]byte, uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.snapshot, h.offset
}

func (h *fakeHandler) Install(snapshot []byte, offset uint64) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.snapshot, h.offset = snapshot, offset
	return nil
}

func (h *fakeHandler) Answer(_ context.Context, key string) (Answer, error) {
	if h.answering != nil {
		h.answering <- struct{}{}
		<-h.release
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if answer, known := h.answers[key]; known {
		return answer, nil
	}
	return Answer{State: NotFound}, nil
}

// daemon is a mesh on loopback. Its rounds are an hour apart, so that the test
// triggers the exchanges itself.
type daemon struct {
	*Mesh
	handler *fakeHandler
	events  *recorder
	timers  *watchedClock
	vm      hosting.VM
	// kill stops the mesh without notifying its peers.
	kill func()
}

func startDaemon(c *qt.C, fake clock.Clock, name, incarnation, address string) *daemon {
	common := telemetry.NewCommon()
	timers := &watchedClock{Clock: fake, started: make(chan struct{}, 64)}
	common.Clock = timers
	d := &daemon{handler: &fakeHandler{answers: make(map[string]Answer), merged: make(chan struct{}, 1)}, events: &recorder{}, timers: timers}
	common.Events = d.events
	identity := Identity{Daemon: name, Zone: "ZoneA", Region: "Region", Incarnation: incarnation}
	options := DefaultOptions(identity, address, 1)
	options.Interval = time.Hour
	d.Mesh = New(common, options, timeline.NewClock(common), d.handler)
	c.Assert(d.Listen(), qt.IsNil)
	d.vm = entryVM(name, d.Address())
	ctx, cancel := context.WithCancel(context.Background())
	go d.Run(ctx)
	d.kill = func() {
		cancel()
		<-d.Done()
	}
	c.Cleanup(d.kill)
	return d
}

func entryVM(name, address string) hosting.VM {
	return hosting.VM{
		Name: name, Role: hosting.RoleEntry, Zone: "ZoneA", Region: "Region", PeerAddress: address,
	}
}

// setVMs sets the VM list of all daemons to these daemons and the runner R1.
func setVMs(daemons ...*daemon) {
	vms := []hosting.VM{{Name: "R1", Role: hosting.RoleRunner, Zone: "ZoneA", Region: "Region"}}
	for _, d := range daemons {
		vms = append(vms, d.vm)
	}
	for _, d := range daemons {
		d.SetVMs(vms)
	}
}

// watchedClock signals when a call or a write has set its timer.
type watchedClock struct {
	clock.Clock
	started chan struct{}
}

func (w *watchedClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	timer := w.Clock.AfterFunc(d, f)
	select {
	case w.started <- struct{}{}:
	default:
	}
	return timer
}

// drain discards the signals of timers set so far.
func (w *watchedClock) drain() {
	for len(w.started) > 0 {
		<-w.started
	}
}

// recorder records the kinds of events.
type recorder struct {
	mutex sync.Mutex
	kinds []string
}

func (r *recorder) Record(event telemetry.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kinds = append(r.kinds, event.Kind)
}

func newFakeClock() *clockwork.FakeClock {
	return clock.NewFake(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
}
