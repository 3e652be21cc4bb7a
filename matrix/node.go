package matrix

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/claimlog"
	"github.com/cranberrywalk/cranberrywalk/configuration"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
	"github.com/cranberrywalk/cranberrywalk/retry"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// region is the region of all VMs of a case.
const region = "region-1"

// node is a daemon with its real components.
type node struct {
	telemetry.Common
	cluster    *Cluster
	name       string
	zone       string
	log        *nodeLog
	client     *backend.Client
	dispatcher *dispatch.Dispatcher
	answers    *answer.Store
	suspects   *suspect.Tracker
	claimer    *claimlog.Claimer
	// stopClaimer stops the goroutines of the claimer.
	stopClaimer context.CancelFunc
	// configuration is nil in cases of requests and orders.
	configuration *configuration.Follower
	// stopConfiguration stops the goroutines of the configuration.
	stopConfiguration context.CancelFunc

	// mu guards the fields below.
	mu     sync.Mutex
	roster roster.Roster
	gossip *gossip.Core
	// crashes holds the crashes that this daemon itself has observed, by request
	// fingerprint.
	crashes map[uint64]gossip.Suspect
	// dead never goes back to false.
	dead bool
	// paused daemons answer no peer.
	paused bool
}

// options let a test disable single protections.
type options struct {
	// claimer wraps the claimer of every daemon, if set.
	claimer func(dispatch.Claimer) dispatch.Claimer
	// ignoresLeaving lets leaving backend servers be chosen.
	ignoresLeaving bool
	// suspects are the options for tracking requests that crash backend servers.
	suspects suspect.Options
}

func newNode(c *Cluster, name, zone string, seed uint64) *node {
	n := &node{
		Common: telemetry.NewCommon(), cluster: c, name: name, zone: zone,
		roster: roster.New(), crashes: make(map[uint64]gossip.Suspect),
	}
	n.Common = c.common()
	n.log = &nodeLog{fakeLog: c.log, node: n}
	n.gossip = gossip.New(gossip.Identity{Daemon: name, Zone: zone, Region: region, Incarnation: "1"}, rand.New(rand.NewPCG(seed, 1)))
	n.client = backend.New(n.Common, backend.DefaultOptions())
	n.answers = answer.New(n.Common, answer.DefaultOptions())
	n.suspects = suspect.New(c.options.suspects)
	n.startClaimer()
	n.addDispatcher(seed)
	return n
}

// startClaimer starts the claimer without batching and retry delays, so that the
// timing of a case depends on the fakes only.
func (n *node) startClaimer() {
	options := claimlog.DefaultOptions()
	options.Daemon, options.Incarnation = n.name, "1"
	options.FlushInterval, options.RetryMin, options.RetryMax = 0, 0, 0
	n.claimer = claimlog.New(n.Common, n.log, options)
	ctx, cancel := context.WithCancel(context.Background())
	n.stopClaimer = cancel
	go n.claimer.Run(ctx)
}

func (n *node) addDispatcher(seed uint64) {
	options := dispatch.DefaultOptions()
	options.Daemon, options.Incarnation = n.name, "1"
	var claimer dispatch.Claimer = &nodeClaimer{node: n}
	if n.cluster.options.claimer != nil {
		claimer = n.cluster.options.claimer(claimer)
	}
	n.dispatcher = dispatch.New(n.Common, dispatch.Dependencies{
		Client: n.client, Chooser: &nodeChooser{node: n}, Claimer: claimer, Relayer: &nodeRelayer{node: n},
		Answers: n.answers, Suspects: n.suspects, OnSuspect: n.recordCrash,
		Budget:  retry.NewBudget(retry.DefaultBudgetOptions(), n.Clock.Now()),
		Backoff: retry.NewBackoff(retry.BackoffOptions{}, rand.NewPCG(seed, 2)),
	}, options)
}

// recordCrash records a crash that this daemon has observed, for its digest.
func (n *node) recordCrash(entry suspect.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := n.crashes[entry.Fingerprint]
	seen.Fingerprint, seen.Reporter, seen.Expires = entry.Fingerprint, n.name, entry.Expires
	seen.Crashes++
	n.crashes[entry.Fingerprint] = seen
}

// apply applies an event to the roster, and moves the streams of backend servers
// that are now leaving.
func (n *node) apply(event roster.Event) {
	n.mu.Lock()
	next, effects := n.roster.Apply(event, n.Clock.Now())
	n.roster = next
	n.mu.Unlock()
	for _, effect := range effects {
		if effect.Kind == roster.BecameLeaving {
			n.dispatcher.MoveStreams(effect.VM.Name)
		}
	}
}

func (n *node) member(vm string) roster.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Member(vm)
}

// digest returns the daemon's gossip digest: leaving VMs and crashes.
func (n *node) digest() gossip.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	var digest gossip.Digest
	for _, r := range n.cluster.runners {
		if member := n.roster.Member(r.name); member.State == roster.Leaving {
			digest.Leaving = append(digest.Leaving, gossip.Leaving{VM: r.name, Deadline: member.Deadline})
		}
	}
	for _, seen := range n.crashes {
		digest.Suspects = append(digest.Suspects, seen)
	}
	return digest
}

// merge applies the facts that a gossip exchange with a peer added.
func (n *node) merge(added gossip.Digest) {
	for _, leaving := range added.Leaving {
		n.apply(roster.Reported{VM: leaving.VM, Deadline: leaving.Deadline})
	}
	for _, seen := range added.Suspects {
		entry := suspect.Entry{Fingerprint: seen.Fingerprint, Expires: seen.Expires}
		for i := range min(seen.Crashes, suspect.Threshold) {
			identity := suspect.CrashID(seen.Reporter, strconv.FormatUint(seen.Fingerprint, 16), i)
			entry.Crashes = append(entry.Crashes, identity)
		}
		n.suspects.Merge([]suspect.Entry{entry}, n.Clock.Now())
	}
}

// kill stops the daemon without a shutdown: from now on it neither appends to the
// log nor answers anybody.
func (n *node) kill() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.stopClaimer()
	if n.configuration != nil {
		n.stopConfiguration()
	}
	n.cluster.record.update(func() {
		for _, call := range n.cluster.record.Calls {
			call.Lost = call.Lost || call.Daemon == n.name && call.OutcomeCount == 0
		}
	})
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (n *node) isSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead || n.paused
}

func (n *node) setPaused(paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = paused
}

// close stops all components and waits for their goroutines.
func (n *node) close() {
	n.stopClaimer()
	<-n.claimer.Done()
	if n.configuration != nil {
		n.stopConfiguration()
		<-n.configuration.Done()
	}
	n.client.Close()
}

// setVMs passes a VM list to the roster and the gossip of the daemon.
func (n *node) setVMs(version uint64, vms []hosting.VM) {
	n.apply(roster.Listed{Snapshot: hosting.VMSnapshot{Version: version, VMs: vms}})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gossip.SetVMs(vms)
}
