// Package membership joins the entry daemons: each knows the others from the
// platform's store and tells every one of them, several times a second, what it
// has seen itself: directly in a small group, through relays in a larger one.
package membership

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/quota"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// Member is one start of a daemon.
type Member struct {
	Name    string
	Address string
	Zone    string
	// Incarnation is unique to the start.
	Incarnation string
	// Capacity is the VM's share of processors, in thousandths of one.
	Capacity int
}

// Digest is what one daemon tells another.
type Digest struct {
	Sender Member
	// TimeOfDay is the sender's, in microseconds since 1970.
	TimeOfDay int64
	// Ends holds the offset up to which the sender knows each topic.
	Ends []TopicEnd
	// Stopping is true from the begin of a planned stop.
	Stopping bool
	Loads    []balance.Load
	Uses     []quota.Use
	Counts   []usage.Count
	// Heard holds the counts of other processes, for a daemon that has just
	// started and did not hear them itself.
	Heard   []usage.ProcessCounts
	Crashes []suspect.Entry
	// Members are the daemons that the sender knows, for one that has just
	// started.
	Members []Member
	// IsNew is true while the sender has just started.
	IsNew bool
}

// TopicEnd is how far a daemon knows a topic.
type TopicEnd struct {
	Topic string
	End   uint64
	// Age is how long ago the store was in that state.
	Age time.Duration
}

// RecordsRequest asks for what a daemon holds of a topic.
type RecordsRequest struct {
	Topic string
	From  uint64
}

// RecordsReply holds what a daemon knows of a topic.
type RecordsReply struct {
	Extract latest.Extract
	// Age is how long ago the store was in that state.
	Age time.Duration
}

// Handler is the daemon's side of the exchange.
type Handler interface {
	// Digest returns what the daemon tells now, to a daemon that may have just
	// started. The sender is filled in.
	Digest(toNew bool) Digest
	// Hear takes in what another daemon tells. delay is an estimate of the
	// digest's age.
	Hear(digest Digest, delay time.Duration)
	// Told takes in news of the store that another daemon has read.
	Told(news feed.News)
	// Records returns what the daemon holds of a topic.
	Records(request RecordsRequest) RecordsReply
}
