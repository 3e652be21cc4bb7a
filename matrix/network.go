package matrix

import (
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// cut drops messages between two daemons in one direction.
func (c *Cluster) cut(from, to *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[[2]string{from.name, to.name}] = true
}

func (c *Cluster) reaches(from, to *node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cuts[[2]string{from.name, to.name}]
}

// heal ends all faults of the log and of the network.
func (c *Cluster) heal() {
	c.mu.Lock()
	clear(c.cuts)
	c.mu.Unlock()
	c.log.setFault(logWorks)
	for _, n := range c.nodes {
		n.log.setCut(cutNone)
	}
}

// exchangeAll runs two rounds of gossip between all daemons that reach each other.
func (c *Cluster) exchangeAll() {
	for range 2 {
		for _, from := range c.nodes {
			for _, to := range c.nodes {
				if from != to && !from.isSilent() && !to.isSilent() && c.reaches(from, to) {
					c.exchange(from, to)
				}
			}
		}
	}
}

func (c *Cluster) exchange(from, to *node) {
	now := c.Clock.Now()
	for _, n := range []*node{from, to} {
		digest := n.digest()
		n.mu.Lock()
		n.gossip.Publish(digest, now)
		n.mu.Unlock()
	}
	from.mu.Lock()
	message := from.gossip.Request(to.name, timeline.Stamp{})
	from.mu.Unlock()
	to.mu.Lock()
	reply, newAtReceiver := to.gossip.Reply(message, timeline.Stamp{}, now)
	to.mu.Unlock()
	to.merge(newAtReceiver)
	if !c.reaches(to, from) {
		return
	}
	from.mu.Lock()
	newAtSender := from.gossip.Receive(reply, now)
	from.mu.Unlock()
	from.merge(newAtSender)
}
