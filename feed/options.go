package feed

import "time"

// Options configures a Feed. A follower is a daemon that gets the topic from
// other daemons instead of the store.
type Options struct {
	Topic string
	// Period is the time between the starts of two rounds.
	Period time.Duration
	// FollowerReadPeriod is the time between two reads of the store by a follower; zero
	// means that there are no followers: every round reads the store.
	FollowerReadPeriod time.Duration
	// StaleAfter is the age of a follower's copy above which the follower reads
	// the store itself.
	StaleAfter time.Duration
	// Wait is how long a read may wait for the first record.
	Wait time.Duration
	// Timeout bounds one read of the store, and UnavailableTimeout one read after the
	// previous one has failed.
	Timeout, UnavailableTimeout time.Duration
	// PeerTimeout bounds one read from another daemon.
	PeerTimeout time.Duration
	// OutageAfter is the time without a successful read after which a deletion
	// may only mean that the record expired during the outage.
	OutageAfter time.Duration
}
