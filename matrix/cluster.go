package matrix

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/cranberrywalk/cranberrywalk/claimlog"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/order"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

const (
	// zoneA and zoneB are the availability zones of a case.
	zoneA = "zone-a"
	zoneB = "zone-b"
	// reclaimNotice is the time from a reclaim notice to the stop of the VM.
	reclaimNotice = 30 * time.Second
	// caseBound is the real time after which a wait in a case counts as hung.
	caseBound = 30 * time.Second
	// pollInterval is the real time between two checks of a condition.
	pollInterval = 200 * time.Microsecond
)

// The log streams of claims and leases.
var (
	claimStream = claimlog.DefaultOptions().Stream
	leaseStream = order.DefaultOptions().Stream
)

// Cluster is the environment of one case: daemons and backend servers in two
// availability zones, with a shared fake log and a fake clock.
type Cluster struct {
	Clock   *clockwork.FakeClock
	options options
	// suffix ends the IDs of the case's requests. Backend servers reject other IDs,
	// since a request of an earlier test may arrive at a port that is now reused.
	suffix  string
	log     *fakeLog
	record  *Record
	nodes   []*node
	runners []*runner

	mu sync.Mutex
	// hook runs once, when the case reaches the hook's step.
	hook *hook
	// cuts holds the pairs of sender and receiver between which messages are lost.
	cuts map[[2]string]bool
	// progress counts the events that show that a request has stopped waiting.
	progress int
}

// action is what happens to the interrupted operation after a hook.
type action int

const (
	// proceed continues normally.
	proceed action = iota
	// abort closes the connection.
	abort
	// hang leaves the connection open without sending further bytes.
	hang
	// cross continues with the answer to another request.
	cross
)

// hook injects the fault of a case at a step.
type hook struct {
	step Step
	// node is the daemon that must reach the step; nil matches any daemon.
	node   *node
	inject func() action
	// reached never goes back to false.
	reached bool
	// done is closed when inject has returned.
	done chan struct{}
}

func defaultOptions() options { return options{suspects: suspect.DefaultOptions()} }

// newCluster starts two daemons in zoneA, one in zoneB, and two backend servers
// in each zone.
func newCluster(options options, seed uint64) (*Cluster, error) {
	c := &Cluster{
		Clock: clock.NewFake(time.Unix(1_000_000, 0)), options: options, record: &Record{NoticedAt: make(map[string]time.Time)},
		cuts: make(map[[2]string]bool),
	}
	c.log = newFakeLog(c.Clock)
	for _, vm := range []struct{ name, zone string }{
		{"runner-1", zoneA}, {"runner-2", zoneA}, {"runner-3", zoneB}, {"runner-4", zoneB},
	} {
		r, err := newRunner(c, vm.name, vm.zone)
		if err != nil {
			c.close()
			return nil, err
		}
		c.runners = append(c.runners, r)
	}
	c.suffix = "-" + strings.TrimPrefix(c.runners[0].address, "127.0.0.1:")
	for i, vm := range []struct{ name, zone string }{{"entry-1", zoneA}, {"entry-2", zoneB}, {"entry-3", zoneA}} {
		c.nodes = append(c.nodes, newNode(c, vm.name, vm.zone, seed+uint64(i)))
	}
	for _, n := range c.nodes {
		<-n.claimer.Ready()
		n.setVMs(1, c.vms())
	}
	return c, nil
}

func (c *Cluster) vms() []hosting.VM {
	var vms []hosting.VM
	for _, n := range c.nodes {
		vms = append(vms, hosting.VM{Name: n.name, Role: hosting.RoleEntry, Region: region, Zone: n.zone})
	}
	for _, r := range c.runners {
		vms = append(vms, hosting.VM{Name: r.name, Role: hosting.RoleRunner, Region: region, Zone: r.zone})
	}
	return vms
}

// common returns the dependencies shared by the components of a daemon.
func (c *Cluster) common() telemetry.Common {
	common := telemetry.NewCommon()
	common.Log = klog.Logger{}
	common.Clock = c.Clock
	common.Events = &progressRecorder{cluster: c}
	return common
}

// close ends the faults of the log and stops all backend servers and daemons.
func (c *Cluster) close() {
	c.log.setFault(logWorks)
	for _, n := range c.nodes {
		n.log.setCut(cutNone)
	}
	for _, r := range c.runners {
		r.stop()
	}
	for _, n := range c.nodes {
		n.close()
	}
}

// progressRecorder counts the events that show that a request has stopped waiting.
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

// advanceUntilProgress advances the clock in steps until the count of progress
// exceeds start. It holds the lock while it advances, so that the clock doesn't
// move after the event.
func (c *Cluster) advanceUntilProgress(start int, step time.Duration) {
	bound := time.Now().Add(caseBound)
	for time.Now().Before(bound) {
		c.mu.Lock()
		if c.progress > start {
			c.mu.Unlock()
			return
		}
		c.Clock.Advance(step)
		c.mu.Unlock()
		time.Sleep(5 * pollInterval)
	}
}

func (c *Cluster) progressCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress
}

// setHook sets the hook of the case.
func (c *Cluster) setHook(n *node, step Step, inject func() action) *hook {
	h := &hook{step: step, node: n, inject: inject, done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = h
	return h
}

// runHook runs the hook if it is set for the step, whatever its daemon.
func (c *Cluster) runHook(step Step) action { return c.runHookAt(nil, step) }

// runHookAt runs the hook if it is set for the step at the daemon. A nil daemon
// matches every hook.
func (c *Cluster) runHookAt(n *node, step Step) action {
	c.mu.Lock()
	h := c.hook
	if h == nil || h.reached || h.step != step || h.node != nil && n != nil && h.node != n {
		c.mu.Unlock()
		return proceed
	}
	h.reached = true
	c.mu.Unlock()
	defer close(h.done)
	return h.inject()
}

// awaitHook reports whether the hook has run, and waits until it has returned.
func (c *Cluster) awaitHook(h *hook) bool {
	c.mu.Lock()
	reached := h.reached
	c.mu.Unlock()
	if reached {
		<-h.done
	}
	return reached
}

// owns reports whether a request ID belongs to the case.
func (c *Cluster) owns(requestID string) bool { return strings.HasSuffix(requestID, c.suffix) }

func (c *Cluster) node(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// runnersFrom returns all backend servers, those in the given zone first.
func (c *Cluster) runnersFrom(zone string) []*runner {
	var near, far []*runner
	for _, r := range c.runners {
		if r.zone == zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	return slices.Concat(near, far)
}

// announceReclaim sends reclaim notices for all runners of a zone to one daemon.
func (c *Cluster) announceReclaim(n *node, zone string) {
	now := c.Clock.Now()
	for _, r := range c.runners {
		if r.zone != zone {
			continue
		}
		c.record.update(func() { c.record.NoticedAt[r.name] = now })
		n.apply(roster.Noticed{Notice: hosting.Notice{VM: r.name, Deadline: now.Add(reclaimNotice)}})
	}
}
