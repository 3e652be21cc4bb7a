package membership

import (
	"context"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/feed"
)

// mostNews bounds the news that wait to be told. What is dropped is read by the
// others at their next round.
const mostNews = 16

// newsMessage carries news from one daemon to another.
type newsMessage struct {
	Sender Member
	News   feed.News
}

// acknowledgement answers a call that returns nothing.
type acknowledgement struct{}

// outgoing is news that is to be told.
type outgoing struct {
	news feed.News
	// sender is the daemon that told this one; empty for own news.
	sender Member
}

// Tell implements feed.Peers. It never blocks.
func (g *Group) Tell(news feed.News) { g.enqueue(outgoing{news: news}) }

func (g *Group) enqueue(out outgoing) {
	select {
	case g.news <- out:
	default:
		g.common.Count("Membership.NewsDropped", 1)
	}
}

// told takes in news of another daemon. A relay passes on to its zone what comes
// from another one.
func (g *Group) told(message newsMessage) {
	g.handler.Told(message.News)
	if message.Sender.Zone != g.options.Self.Zone {
		g.enqueue(outgoing{news: message.News, sender: message.Sender})
	}
}

// tellNews tells the others until ctx ends.
func (g *Group) tellNews(ctx context.Context, calls *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-g.news:
			for _, p := range g.listeners(out.sender) {
				calls.Go(func() { g.tell(ctx, p, out.news) })
			}
		}
	}
}

// listeners returns the daemons that are told of news, and marks them as being
// told. One that is still being told of earlier news is left out.
func (g *Group) listeners(sender Member) []*peer {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	links := g.topology(now)
	var listeners []*peer
	for _, p := range g.peers {
		if p.isTold || !g.isHeard(p, now) || !links.tells(p.member, sender) {
			continue
		}
		p.isTold = true
		listeners = append(listeners, p)
	}
	return listeners
}

func (g *Group) tell(ctx context.Context, p *peer, news feed.News) {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	g.mutex.Lock()
	address := p.member.Address
	g.mutex.Unlock()
	message := newsMessage{Sender: g.options.Self, News: news}
	if err := g.client.call(ctx, address, callNews, &message, &acknowledgement{}); err != nil {
		g.common.Count("Membership.NewsFailed", 1)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p.isTold = false
}
