package callerserver

import (
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/connlimit"
)

const (
	// closingDivisor divides the limit on connections into how many may be closing beside it.
	closingDivisor = 8
	// closingWait bounds the wait for one of them to be closed before the next one is accepted.
	closingWait = 50 * time.Millisecond
)

// makeRoom closes connections until another one may be opened. It reports whether it may: not if requests
// are under way on all of them.
func (s *Server) makeRoom() bool {
	for {
		c, rank, isAny := s.connLimit.TakeExcess()
		if !isAny {
			break
		}
		s.recordRoom(rank)
		c.giveWay(rank)
	}
	s.awaitClosings()
	return !s.connLimit.IsFull()
}

// rankNames are the names of ranks in log lines.
var rankNames = map[connlimit.Rank]string{
	connlimit.Unused: "Unused", connlimit.Receiving: "Receiving", connlimit.Stalled: "Stalled", connlimit.Idle: "Idle", connlimit.Busy: "Busy",
}

// recordRoom counts a connection that is closed for the sake of another one, and logs it unless others were
// logged a moment ago. Busy stands for a new connection that is closed since all others are busy.
func (s *Server) recordRoom(rank connlimit.Rank) {
	s.common.Count("CallerConnections.ClosedForOthers."+rankNames[rank], 1)
	unlogged, isDue := s.closings.Take(s.common.Clock.Now())
	if isDue {
		s.common.Log.Info("CallerConnectionsAtLimit", "Closed", rankNames[rank], "Open", s.openCount(),
			"Limit", s.options.MaxConnections, "Unlogged", unlogged)
	}
}

// awaitClosings waits until few connections are still closing.
func (s *Server) awaitClosings() {
	most := s.options.MaxConnections + s.options.MaxConnections/closingDivisor
	if s.options.MaxConnections <= 0 || s.openCount() <= most {
		return
	}
	timer := s.common.Clock.NewTimer(closingWait)
	defer timer.Stop()
	for s.openCount() > most {
		select {
		case <-s.left:
		case <-timer.Chan():
			return
		}
	}
}

// giveWay closes the connection for the sake of others. rank is what it was worth.
func (c *connection) giveWay(rank connlimit.Rank) {
	switch rank {
	case connlimit.Unused:
		c.refuse(&refusal{reason: string(tooManyConnections)})
	case connlimit.Receiving:
		c.refuse(&refusal{status: http.StatusServiceUnavailable, reason: string(tooManyConnections)})
	case connlimit.Stalled:
		c.cutBody()
	case connlimit.Idle:
		c.closeIdle()
	}
}

// closeIdle closes the connection unless a request has begun to arrive.
func (c *connection) closeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == awaiting {
		c.requestClose(tooManyConnections)
	}
}

// rankAwaiting sets the rank Idle when a further request is awaited; a connection without one stays
// Unused. The mutex must be held.
func (c *connection) rankAwaiting() {
	if c.hasRequested {
		c.setRank(connlimit.Idle)
	}
}

// setRank sets the rank of the connection unless it is being closed. The mutex must be held.
func (c *connection) setRank(rank connlimit.Rank) {
	if c.refusal == nil {
		c.entry.SetRank(rank)
	}
}

// OpenConnections returns the number of connections that are open.
func (s *Server) OpenConnections() int { return s.openCount() }
