package daemon

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
	"github.com/cranberrywalk/cranberrywalk/route"
)

// ownLoads returns the load that this daemon puts on the backend servers.
func (c *chooser) ownLoads(daemon string, now time.Time) []peer.BackendLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetSilent(now)
	var loads []peer.BackendLoad
	for _, b := range c.pools() {
		for _, load := range b.view.Report(daemon, now).Loads {
			loads = append(loads, peer.BackendLoad{
				Backend: load.Runner, InFlight: load.InFlight, QueuedTokens: load.QueuedTokens,
				PrefillRate: int(load.PrefillTokensPerSecond),
			})
		}
	}
	return loads
}

// mergeLoads takes over what is new in the reports of peers.
func (c *chooser) mergeLoads(news []peer.BackendLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := make(map[string]uint64)
	for _, load := range news {
		if c.loads[load.Reporter] == nil {
			c.loads[load.Reporter] = make(map[string]peer.BackendLoad)
		}
		c.loads[load.Reporter][load.Backend] = load
		changed[load.Reporter] = max(changed[load.Reporter], load.Version)
	}
	for reporter, version := range changed {
		for _, b := range c.pools() {
			b.view.Digest(newDigest(reporter, version, c.loads[reporter]))
		}
	}
}

// silentAfter is the age of a daemon's newest load above which the daemon is
// taken to have ended. The mesh drops its facts at the same age.
const silentAfter = gossip.FactLifetime

// forgetSilent drops the loads of daemons that have ended without a word.
func (c *chooser) forgetSilent(now time.Time) {
	for reporter, loads := range c.loads {
		var newest uint64
		for _, load := range loads {
			newest = max(newest, load.Version)
		}
		if now.Sub(time.UnixMilli(int64(newest))) > silentAfter {
			c.forgetPeer(reporter)
		}
	}
}

func newDigest(reporter string, version uint64, loads map[string]peer.BackendLoad) route.Digest {
	digest := route.Digest{Daemon: reporter, Time: time.UnixMilli(int64(version))}
	for _, load := range loads {
		digest.Loads = append(digest.Loads, route.Load{
			Runner: load.Backend, InFlight: load.InFlight, QueuedTokens: load.QueuedTokens,
			PrefillTokensPerSecond: float64(load.PrefillRate),
		})
	}
	return digest
}

// forgetPeers drops the loads of daemons that have left.
func (c *chooser) forgetPeers(listed []hosting.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for reporter := range c.loads {
		if !slices.ContainsFunc(listed, func(vm hosting.VM) bool { return vm.Name == reporter }) {
			c.forgetPeer(reporter)
		}
	}
}

// forgetPeer drops the loads of one daemon. The caller holds the lock.
func (c *chooser) forgetPeer(reporter string) {
	delete(c.loads, reporter)
	for _, b := range c.pools() {
		b.view.ForgetPeer(reporter)
	}
}
