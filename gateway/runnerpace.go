package gateway

import (
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/catalog"
)

// observeAnswer tells the balancer how long a runner took for a whole answer. The time of an answer of
// another status says little of the speed.
func (x *exchange) observeAnswer(a *attempt, status int) {
	if x.route.Kind != catalog.Stream && x.engine() == nil && status < http.StatusMultipleChoices {
		a.ticket.ObserveAnswer(x.Clock.Now())
	}
}

// observeFirstEvent tells the balancer how long a runner took to begin a stream. One that goes on with
// a stream of another runner may have other work to do first.
func (x *exchange) observeFirstEvent(a *attempt) {
	if a.lastEvent == 0 && a.resumed == nil {
		a.ticket.ObserveFirstEvent(x.Clock.Now())
	}
}

const (
	// paceInterval is the least time over which the events of a runner are counted.
	paceInterval = time.Second
	// maxWriteTime is the time for which a write to the caller may take. During a longer one events of
	// the runner wait, and their times do not show its speed.
	maxWriteTime = 5 * time.Millisecond
)

// runnerPace counts the events of one stream.
type runnerPace struct {
	ticket *balance.Ticket
	// since is when the last counted interval ended. It is zero before the first event.
	since time.Time
	count int
}

// add counts an event that has arrived at one time and was written to the caller at another.
func (p *runnerPace) add(arrived, written time.Time) {
	if p.since.IsZero() || written.Sub(arrived) > maxWriteTime {
		p.since, p.count = written, 0
		return
	}
	p.count++
	if took := written.Sub(p.since); took >= paceInterval {
		p.ticket.ObserveEvents(p.count, took, written)
		p.since, p.count = written, 0
	}
}
