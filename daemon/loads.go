package daemon

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
	"github.com/cranberrywalk/cranberrywalk/route"
)

// ownLoads returns the load that this daemon causes on the backend servers.
func (c *chooser) ownLoads(daemon string, now time.Time) []peer.BackendLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpiredLoads(now)
	var loads []peer.BackendLoad
	for _, p := range c.pools() {
		for _, load := range p.view.OwnDigest(daemon, now).Loads {
			loads = append(loads, peer.BackendLoad{
				Backend: load.Runner, InFlight: load.InFlight, QueuedTokens: load.QueuedTokens,
				PrefillRate: int(load.PrefillTokensPerSecond),
			})
		}
	}
	return loads
}

// mergeLoads applies the changed loads that peers have reported.
func (c *chooser) mergeLoads(received []peer.BackendLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := make(map[string]uint64)
	for _, load := range received {
		if c.loads[load.Reporter] == nil {
			c.loads[load.Reporter] = make(map[string]peer.BackendLoad)
		}
		c.loads[load.Reporter][load.Backend] = load
		changed[load.Reporter] = max(changed[load.Reporter], load.Version)
	}
	for reporter, version := range changed {
		for _, p := range c.pools() {
			p.view.ApplyDigest(newDigest(reporter, version, c.loads[reporter]))
		}
	}
}

// loadLifetime is the age of a daemon's newest load report above which the daemon
// is assumed to be dead. The mesh drops the daemon's reports at the same age.
const loadLifetime = gossip.FactLifetime

// dropExpiredLoads drops the loads of daemons that ended without announcing it,
// judged by the age of their newest report.
func (c *chooser) dropExpiredLoads(now time.Time) {
	for reporter, loads := range c.loads {
		var newest uint64
		for _, load := range loads {
			newest = max(newest, load.Version)
		}
		if now.Sub(time.UnixMilli(int64(newest))) > loadLifetime {
			c.dropPeer(reporter)
		}
	}
}

// newDigest returns the digest of a reporter's loads. A version is approximately the
// reporter's time in milliseconds since 1970.
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

// dropUnlistedPeers drops the loads of daemons that are no longer in the VM list.
func (c *chooser) dropUnlistedPeers(listed []hosting.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for reporter := range c.loads {
		if !slices.ContainsFunc(listed, func(vm hosting.VM) bool { return vm.Name == reporter }) {
			c.dropPeer(reporter)
		}
	}
}

// dropPeer drops the loads of one daemon. The caller must hold c.mu.
func (c *chooser) dropPeer(reporter string) {
	delete(c.loads, reporter)
	for _, p := range c.pools() {
		p.view.ForgetPeer(reporter)
	}
}
