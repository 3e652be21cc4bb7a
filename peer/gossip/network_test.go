package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// network simulates a mesh of cores in memory. Every step is one round of all
// daemons.
type network struct {
	random *rand.Rand
	now    time.Time
	names  []string
	vms    []hosting.VM
	cores  map[string]*gossip.Core
	own    map[string]*gossip.Digest
	views  map[string]*view
	// blocked reports whether all messages from one daemon to another are lost.
	blocked func(from, to string) bool
	// lossRate and duplicationRate are the shares of messages that are lost and
	// duplicated.
	lossRate, duplicationRate float64
	// urgent queues the daemons that have notices to push.
	urgent []string
	// regressions counts loads that were replaced by one of the same or an
	// older version.
	regressions int
}

// view is what a daemon has received from the others.
type view struct {
	loads    map[string]gossip.BackendLoad
	leaving  map[string]time.Time
	suspects map[uint64]int
	zones    map[string]gossip.Summary
	demands  map[string]float64
}

// newNetwork returns daemons D0, D1, … that are spread over zones, and the
// runners R0 to R9.
func newNetwork(seed uint64, daemons, zones int) *network {
	n := &network{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC),
		cores:   make(map[string]*gossip.Core),
		own:     make(map[string]*gossip.Digest),
		views:   make(map[string]*view),
		blocked: func(string, string) bool { return false },
	}
	var vms []hosting.VM
	for i := range 10 {
		vms = append(vms, hosting.VM{
			Name: fmt.Sprint("R", i), Role: hosting.RoleRunner, Region: "Region",
			Zone: fmt.Sprint("Zone", i%zones), Models: []string{"Small"},
		})
	}
	for i := range daemons {
		name, zone := fmt.Sprint("D", i), fmt.Sprint("Zone", i%zones)
		vms = append(vms, hosting.VM{Name: name, Role: hosting.RoleEntry, Zone: zone, Region: "Region"})
		n.names = append(n.names, name)
		n.start(name, zone)
	}
	n.vms = vms
	for _, core := range n.cores {
		core.SetVMs(vms)
	}
	return n
}

// start gives the daemon an empty core and view, as after a restart.
func (n *network) start(name, zone string) {
	identity := gossip.Identity{Daemon: name, Zone: zone, Region: "Region"}
	n.cores[name] = gossip.New(identity, rand.New(rand.NewPCG(n.random.Uint64(), 2)))
	n.own[name] = &gossip.Digest{}
	n.views[name] = &view{
		loads:    make(map[string]gossip.BackendLoad),
		leaving:  make(map[string]time.Time),
		suspects: make(map[uint64]int),
		zones:    make(map[string]gossip.Summary),
		demands:  make(map[string]float64),
	}
}

// step makes every daemon publish its facts and carry out one round.
func (n *network) step() {
	n.now = n.now.Add(gossip.Interval)
	for _, name := range n.names {
		if n.cores[name].Publish(*n.own[name], n.now) {
			n.urgent = append(n.urgent, name)
		}
	}
	n.push()
	for _, name := range n.names {
		for _, peer := range n.cores[name].Round(n.now) {
			n.exchange(name, peer.Name)
		}
	}
	n.push()
}

// push delivers the urgent notices and those that they trigger.
func (n *network) push() {
	for len(n.urgent) > 0 {
		name := n.urgent[0]
		n.urgent = n.urgent[1:]
		for _, peer := range n.cores[name].PushTargets(n.now) {
			message := n.cores[name].Request(peer.Name, n.stamp())
			message.KnownVersions = nil
			n.deliver(name, peer.Name, func() {
				n.apply(peer.Name, n.cores[peer.Name].Receive(message, n.now))
				n.cores[name].MarkDelivered(peer.Name, message)
			})
		}
	}
}

func (n *network) exchange(from, to string) {
	if n.cores[to] == nil {
		n.cores[from].MarkFailed(to, n.now)
		return
	}
	request := n.cores[from].Request(to, n.stamp())
	answered := false
	n.deliver(from, to, func() {
		n.cores[to].MarkReachable(from)
		reply, update := n.cores[to].Reply(request, n.stamp(), n.now)
		n.apply(to, update)
		n.deliver(to, from, func() {
			answered = true
			n.cores[from].MarkDelivered(to, request)
			n.cores[from].MarkReachable(to)
			n.apply(from, n.cores[from].Receive(reply, n.now))
		})
	})
	if !answered {
		n.cores[from].MarkFailed(to, n.now)
	}
}

// deliver calls arrive once for each copy of the message that arrives.
func (n *network) deliver(from, to string, arrive func()) {
	if n.blocked(from, to) || n.random.Float64() < n.lossRate {
		return
	}
	arrive()
	if n.random.Float64() < n.duplicationRate {
		arrive()
	}
}

// apply adds an update to the daemon's view.
func (n *network) apply(name string, update gossip.Digest) {
	view := n.views[name]
	for _, load := range update.Loads {
		key := load.Reporter + "/" + load.Backend
		if load.Version <= view.loads[key].Version {
			n.regressions++
		}
		view.loads[key] = load
	}
	for _, demand := range update.Demands {
		view.demands[demand.Reporter+demand.Group] = demand.Rate
	}
	for _, summary := range update.Summaries {
		view.zones[summary.Zone] = summary
	}
	for _, leaving := range update.Leaving {
		view.leaving[leaving.VM] = leaving.Deadline
	}
	for _, suspect := range update.Suspects {
		view.suspects[suspect.Fingerprint] = max(view.suspects[suspect.Fingerprint], suspect.Crashes)
	}
	if len(update.Leaving)+len(update.Suspects) > 0 {
		n.urgent = append(n.urgent, name)
	}
}

// setLoad makes a daemon report inFlight requests at a runner.
func (n *network) setLoad(name, backend string, inFlight int) {
	n.own[name].Loads = []gossip.BackendLoad{{Backend: backend, InFlight: inFlight}}
}

// loadsAgree reports whether every daemon holds the current loads of all others.
func (n *network) loadsAgree() bool {
	for name, view := range n.views {
		for reporter, own := range n.own {
			for _, load := range own.Loads {
				held := view.loads[reporter+"/"+load.Backend]
				if reporter != name && held.InFlight != load.InFlight {
					return false
				}
			}
		}
	}
	return true
}

// countInformed counts the daemons that have received the leaving notice of the VM.
func (n *network) countInformed(vm string) int {
	count := 0
	for _, view := range n.views {
		if _, known := view.leaving[vm]; known {
			count++
		}
	}
	return count
}

// noticesAgree reports whether all daemons hold the same notices, and at least one
// when a daemon announces one. Notices of a process that has ended may be lost.
func (n *network) noticesAgree() bool {
	hash := n.cores[n.names[0]].Request("", n.stamp()).NoticesHash
	for _, name := range n.names {
		other := n.cores[name].Request("", n.stamp()).NoticesHash
		if other != hash || (hash == 0 && len(n.own[name].Leaving) > 0) {
			return false
		}
	}
	return true
}

// stepsUntil runs up to limit steps until reached returns true and returns the
// number of steps run.
func (n *network) stepsUntil(limit int, reached func() bool) int {
	for steps := range limit {
		if reached() {
			return steps
		}
		n.step()
	}
	return limit
}

func (n *network) stamp() timeline.Stamp { return timeline.Stamp{Wall: n.now.UnixMilli()} }
