package matrix

import (
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// cut stops messages in one direction between daemons.
func (w *Cluster) cut(from, to *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from.name, to.name}] = true
}

func (w *Cluster) reaches(from, to *node) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cuts[[2]string{from.name, to.name}]
}

// heal ends all faults of the log and of the network.
func (w *Cluster) heal() {
	w.mu.Lock()
	clear(w.cuts)
	w.mu.Unlock()
	w.log.setFault(logWorks)
	for _, n := range w.nodes {
		n.log.setCut(cutNone)
	}
}

// exchangeAll lets each daemon exchange twice with every other one that it reaches.
func (w *Cluster) exchangeAll() {
	for range 2 {
		for _, from := range w.nodes {
			for _, to := range w.nodes {
				if from != to && !from.isSilent() && !to.isSilent() && w.reaches(from, to) {
					w.exchange(from, to)
				}
			}
		}
	}
}

func (w *Cluster) exchange(from, to *node) {
	now := w.Clock.Now()
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
	reply, news := to.gossip.Reply(message, timeline.Stamp{}, now)
	to.mu.Unlock()
	to.merge(news)
	if !w.reaches(to, from) {
		return
	}
	from.mu.Lock()
	back := from.gossip.Receive(reply, now)
	from.mu.Unlock()
	from.merge(back)
}
