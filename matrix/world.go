package matrix

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/ledger"
	"github.com/cranberrywalk/cranberrywalk/order"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

const (
	// zoneA and zoneB are the availability zones of a case.
	zoneA = "zone-a"
	zoneB = "zone-b"
	// reclaimNotice is the time from a notice to the stop of its VM.
	reclaimNotice = 30 * time.Second
	// caseBound is how long, on the machine's clock, a case may take before
	// it counts as hung.
	caseBound = 30 * time.Second
	// pollInterval is the pause, on the machine's clock, between two looks at
	// a condition.
	pollInterval = 200 * time.Microsecond
)

// The streams of the log.
var (
	claimStream = ledger.DefaultOptions().Stream
	leaseStream = order.DefaultOptions().Stream
)

// Cluster is what one case runs in: daemons in two availability zones over one
// log, with backend servers and callers.
type Cluster struct {
	Clock   *clockwork.FakeClock
	options options
	// suffix ends the identities of the case's requests, so that a request
	// of another test, to a port that it had before, is not taken for one.
	suffix  string
	log     *fakeLog
	record  *Record
	nodes   []*node
	runners []*runner

	mu sync.Mutex
	// hook is called once, when the step of a case is reached.
	hook *hook
	// cuts holds the directions in which daemons do not reach each other.
	cuts map[[2]string]bool
	// progress counts the events that end a wait of a request.
	progress int
}

// action is what becomes of the exchange after a hook.
type action int

const (
	// proceed continues the exchange.
	proceed action = iota
	// abort closes the connection.
	abort
	// hang leaves the connection open without a byte.
	hang
	// cross goes on with the answer to another request.
	cross
)

// hook is the fault of a case at a step.
type hook struct {
	step Step
	// node is the daemon at which the step counts; nil is any.
	node  *node
	inject func() action
	// reached never goes back to false.
	reached bool
	// done is closed when cause has returned.
	done chan struct{}
}

func defaultOptions() options { return options{suspects: suspect.DefaultOptions()} }

// newCluster starts two daemons in zoneA, one in zoneB, and two backend servers
// in each of them.
func newCluster(options options, seed uint64) (*Cluster, error) {
	w := &Cluster{
		Clock: clock.NewFake(time.Unix(1_000_000, 0)), options: options, record: &Record{NoticedAt: make(map[string]time.Time)},
		cuts: make(map[[2]string]bool),
	}
	w.log = newFakeLog(w.Clock)
	for _, vm := range []struct{ name, zone string }{
		{"runner-1", zoneA}, {"runner-2", zoneA}, {"runner-3", zoneB}, {"runner-4", zoneB},
	} {
		r, err := newRunner(w, vm.name, vm.zone)
		if err != nil {
			w.close()
			return nil, err
		}
		w.runners = append(w.runners, r)
	}
	w.suffix = "-" + strings.TrimPrefix(w.runners[0].address, "127.0.0.1:")
	for i, vm := range []struct{ name, zone string }{{"entry-1", zoneA}, {"entry-2", zoneB}, {"entry-3", zoneA}} {
		w.nodes = append(w.nodes, newNode(w, vm.name, vm.zone, seed+uint64(i)))
	}
	for _, n := range w.nodes {
		<-n.ledger.Ready()
		n.setVMs(1, w.vms())
	}
	return w, nil
}

func (w *Cluster) vms() []hosting.VM {
	var vms []hosting.VM
	for _, n := range w.nodes {
		vms = append(vms, hosting.VM{Name: n.name, Role: hosting.RoleEntry, Region: region, Zone: n.zone})
	}
	for _, r := range w.runners {
		vms = append(vms, hosting.VM{Name: r.name, Role: hosting.RoleRunner, Region: region, Zone: r.zone})
	}
	return vms
}

// common returns what the parts of a daemon share.
func (w *Cluster) common() telemetry.Common {
	common := telemetry.NewCommon()
	common.Log = klog.Logger{}
	common.Clock = w.Clock
	common.Events = &progressRecorder{cluster: w}
	return common
}

// close ends all parts.
func (w *Cluster) close() {
	w.log.setFault(logWorks)
	for _, n := range w.nodes {
		n.log.setCut(cutNone)
	}
	for _, r := range w.runners {
		r.stop()
	}
	for _, n := range w.nodes {
		n.close()
	}
}

// progressRecorder counts the events after which a request no longer waits.
type progressRecorder struct{ cluster *Cluster }

// Record implements telemetry.Recorder.
func (r *progressRecorder) Record(event telemetry.Event) {
	switch event.Kind {
	case "Retried", "Resumed", "RequestEnded":
		r.cluster.mu.Lock()
		defer r.cluster.mu.Unlock()
		r.cluster.progress++
	}
}

// advanceUntilProgress moves the clock on until more requests than before have
// given up a wait. No time passes after that.
func (w *Cluster) advanceUntilProgress(start int, step time.Duration) {
	bound := time.Now().Add(caseBound)
	for time.Now().Before(bound) {
		w.mu.Lock()
		if w.progress > start {
			w.mu.Unlock()
			return
		}
		w.Clock.Advance(step)
		w.mu.Unlock()
		time.Sleep(5 * pollInterval)
	}
}

func (w *Cluster) progressCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progress
}

// setHook sets the fault of the case.
func (w *Cluster) setHook(n *node, step Step, cause func() action) *hook {
	h := &hook{step: step, node: n, inject: cause, done: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hook = h
	return h
}

// runHook calls the hook of a step that is reached at a backend server.
func (w *Cluster) runHook(step Step) action { return w.runHookAt(nil, step) }

// runHookAt calls the hook of a step that is reached at a daemon.
func (w *Cluster) runHookAt(n *node, step Step) action {
	w.mu.Lock()
	h := w.hook
	if h == nil || h.reached || h.step != step || h.node != nil && n != nil && h.node != n {
		w.mu.Unlock()
		return proceed
	}
	h.reached = true
	w.mu.Unlock()
	defer close(h.done)
	return h.inject()
}

// awaitHook reports whether the step was reached, and waits for the end of
// what it caused.
func (w *Cluster) awaitHook(h *hook) bool {
	w.mu.Lock()
	reached := h.reached
	w.mu.Unlock()
	if reached {
		<-h.done
	}
	return reached
}

// owns reports whether a request belongs to the case.
func (w *Cluster) owns(requestID string) bool { return strings.HasSuffix(requestID, w.suffix) }

func (w *Cluster) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// runnersFrom returns the backend servers, those of the zone first.
func (w *Cluster) runnersFrom(zone string) []*runner {
	var near, far []*runner
	for _, r := range w.runners {
		if r.zone == zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	return slices.Concat(near, far)
}

// announceReclaim announces to one daemon that the VMs of a zone will stop.
func (w *Cluster) announceReclaim(n *node, zone string) {
	now := w.Clock.Now()
	for _, r := range w.runners {
		if r.zone != zone {
			continue
		}
		w.record.update(func() { w.record.NoticedAt[r.name] = now })
		n.apply(roster.Noticed{Notice: hosting.Notice{VM: r.name, Deadline: now.Add(reclaimNotice)}})
	}
}
