package feed

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// Peers reads a topic from other daemons.
type Peers interface {
	// ReadsForOthers reports whether this daemon is one of the few that read
	// the store in every round, on behalf of the others.
	ReadsForOthers() bool
	// Newest returns the state of the topic at the daemon that is furthest
	// ahead; false when no daemon has reported one.
	Newest(topic string) (TopicState, bool)
	// Records returns the records of another daemon that are missing in a copy
	// which is complete up to a position, and the time since that daemon's copy was
	// last known to match the store.
	Records(ctx context.Context, topic string, from latest.Position) (latest.Extract, time.Duration, error)
	// ReaderRecords is Records of the daemon that reads the store on behalf of this one,
	// whose copy is the freshest.
	ReaderRecords(ctx context.Context, topic string, from latest.Position) (latest.Extract, time.Duration, error)
	// Broadcast sends what was just read from the store to other daemons. It
	// never blocks.
	Broadcast(update Update)
}

// Update is an update of a topic that one daemon has read from the store and
// broadcasts to others.
type Update struct {
	Topic string
	// From is the position up to which the receiver's copy must already be complete,
	// unless the extract covers all keys.
	From    latest.Position
	Extract latest.Extract
}

// TopicState describes the copy of a topic at a daemon.
type TopicState struct {
	// End is the position up to which the copy is complete.
	End latest.Position
	// Age is the time since the copy was last known to match the store.
	Age time.Duration
}
