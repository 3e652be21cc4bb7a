package entry

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// addFeeds adds the topics of the store that the daemon follows.
func (e *Entry) addFeeds() {
	e.runners = newRunnerTracker(e, inventory.New(inventoryOptions(e.settings), platform.DecodeRunner))
	e.feedsByTopic = make(map[string]*feed.Feed)
	e.addFeed(feed.Options{
		Topic: platform.ConfigurationTopic, Period: feedPeriod, Wait: configurationWait,
		FollowerReadPeriod: fallbackPeriod, StaleAfter: staleAfter,
	}, e.applyConfigurations)
	e.addFeed(feed.Options{
		Topic: platform.RunnersTopic, Period: feedPeriod, FollowerReadPeriod: fallbackPeriod, StaleAfter: staleAfter,
	}, e.runners.applyBatch)
	e.addFeed(feed.Options{
		Topic: membersTopic, Period: membersPeriod, FollowerReadPeriod: fallbackMembersPeriod, StaleAfter: 2 * membersPeriod,
	}, e.addMembers)
}

const (
	// feedPeriod is the time between two reads of topics with a bound on staleness.
	feedPeriod = 400 * time.Millisecond
	// configurationWait is how long a read waits for a newer configuration. It also
	// bounds the time until a dead connection is noticed.
	configurationWait = 500 * time.Millisecond
	// fallbackPeriod is the time between two reads of the store by a daemon that
	// receives a topic from peers, and staleAfter the age of its copy above which
	// it reads the store itself.
	fallbackPeriod = 16 * time.Second
	staleAfter     = 1100 * time.Millisecond
	// membersPeriod is the time between two reads of the list of daemons. It is
	// long since daemons also learn of each other by gossip.
	membersPeriod         = 5 * time.Second
	fallbackMembersPeriod = 20 * time.Second
	// storeTimeout bounds a call to the store, and outageTimeout a call during an
	// outage of the store.
	storeTimeout  = 800 * time.Millisecond
	outageTimeout = 500 * time.Millisecond
	// peerTimeout bounds a read from a peer, which may be paused.
	peerTimeout = 250 * time.Millisecond
	// outageAfter is the time without a successful read after which missing records
	// may only have expired during an outage.
	outageAfter = 2 * time.Second
)

func (e *Entry) addFeed(options feed.Options, apply func(feed.Batch)) {
	options.Timeout = storeTimeout + options.Wait
	options.UnavailableTimeout = outageTimeout
	options.PeerTimeout = peerTimeout
	options.OutageAfter = outageAfter
	f := feed.New(e.Common, options, e.store, e.group, apply)
	e.feeds = append(e.feeds, f)
	e.feedsByTopic[options.Topic] = f
}
