package membership

import "github.com/cespare/xxhash/v2"

// Decides reports whether this daemon is the one, of those that are not presumed to be down,
// that decides on the matter with the key. Daemons that don't see the same others may differ.
func (g *Group) Decides(key string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now, own := g.common.Clock.Now(), rank(g.options.Self.Name, key)
	for _, p := range g.peers {
		if g.isAlive(p, now) && rank(p.member.Name, key) > own {
			return false
		}
	}
	return true
}

// rank orders the daemons as candidates for a matter, by rendezvous hashing.
func rank(daemon, key string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(daemon)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
