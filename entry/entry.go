// Package entry joins the parts of an entry daemon on the users' platform into
// one process.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/connlimit"
	"github.com/cranberrywalk/cranberrywalk/duties"
	"github.com/cranberrywalk/cranberrywalk/duty"
	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/gateway"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/quota"
	"github.com/cranberrywalk/cranberrywalk/retry"
	"github.com/cranberrywalk/cranberrywalk/scaling"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/truetime"
	"github.com/cranberrywalk/cranberrywalk/upstream"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// Entry is the process of one entry VM.
type Entry struct {
	telemetry.Common
	settings platform.Settings
	self     membership.Member

	store    store.Store
	balancer *balance.Balancer
	upstream *upstream.Pool
	quotas   *quota.Book
	suspects *suspect.Book
	usage    *usage.Book
	trueTime *truetime.Clock
	metrics  *metric.Set
	gateway  *gateway.Gateway
	group    *membership.Group
	duties   *duties.Duties
	fleet    *fleet
	feeds    []*feed.Feed
	byTopic  map[string]*feed.Feed
	// connections bounds the waits for callers.
	connections *connlimit.Limiter
	callers     *http.Server
	readiness   *http.Server
	exposed     *http.Server

	// stopping is true from the begin of a planned stop.
	stopping atomic.Bool
	// done is closed when Run has returned.
	done chan struct{}
}

// The topics of the system's own.
const (
	membersTopic = "keyed.members"
	dutiesTopic  = "duties"
)

// New returns a daemon that does nothing before Run.
func New(common telemetry.Common, settings platform.Settings) *Entry {
	now := common.Clock.Now()
	e := &Entry{
		Common: common, settings: settings, done: make(chan struct{}),
		self: membership.Member{
			Name: settings.Name, Address: settings.PeerAddress, Zone: settings.Zone, Incarnation: ulid.Make().String(),
			Capacity: settings.Capacity,
		},
		balancer: balance.New(balanceOptions(common, settings.Zone), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		upstream: upstream.New(common, upstream.DefaultOptions()),
		quotas:   quota.New(quota.DefaultOptions()),
		suspects: suspect.New(suspectOptions()),
		usage:    usage.New(usageWindow(settings), keptWindows),
		trueTime: truetime.New(clockMemory, now),
		metrics:  metric.New(common.Metrics),
	}
	e.store = store.NewWatched(platform.NewStore(settings.StoreAddress, newClient()), common.Clock, e.countStoreCall)
	e.group = membership.New(common, membership.DefaultOptions(e.self, settings.Seeds), exchange{e})
	e.addGateway()
	e.addFeeds()
	e.addDuties()
	e.addServers()
	return e
}

const (
	// keptWindows is the number of windows of usage that are remembered.
	keptWindows = 12
	// clockMemory is how long a comparison with another VM's clock is used.
	clockMemory = 10 * time.Second
	// crashThreshold is the number of runners that a request may crash.
	crashThreshold = 3
	// defaultUsageWindow is used when the platform tells none.
	defaultUsageWindow = 5 * time.Second
	// budgetShare is the part of the platform's bound on retries that is used.
	budgetShare = 0.7
)

func (e *Entry) countStoreCall(call store.Call) {
	e.metrics.StoreCall(call.Name, call.Topic, string(call.Result), call.Took)
}

func balanceOptions(common telemetry.Common, zone string) balance.Options {
	options := balance.DefaultOptions(zone)
	options.Believed = func(belief balance.Belief) {
		common.Log.Info(string(belief.Kind), "Runner", belief.Runner, "Zone", belief.Zone)
	}
	return options
}

func suspectOptions() suspect.Options {
	options := suspect.DefaultOptions()
	options.Threshold = crashThreshold
	return options
}

func usageWindow(settings platform.Settings) time.Duration {
	if settings.Bounds.UsageWindow <= 0 {
		return defaultUsageWindow
	}
	return settings.Bounds.UsageWindow
}

func (e *Entry) addGateway() {
	bounds := e.settings.Bounds
	e.gateway = gateway.New(e.Common, gateway.Parts{
		Codec: platform.Codec{}, Balancer: e.balancer, Upstream: e.upstream, Quotas: e.quotas,
		Suspects: e.suspects, Usage: e.usage, TrueTime: e.trueTime, Group: e.group,
		Mover: platform.NewMover(newClient()), Meters: e.metrics, RunnersAge: e.runnersAge,
		Retries: gateway.NewRetries(retry.WindowOptions{
			Length: bounds.RetryWindow, Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Share: budgetShare,
		}),
	}, gateway.DefaultOptions())
}

// lapseWait is how long runners are kept that lapsed while the store was away.
const lapseWait = 2200 * time.Millisecond

func (e *Entry) addFeeds() {
	e.fleet = newFleet(e, inventory.New(inventory.Options{LapseWait: lapseWait}, platform.DecodeRunner))
	e.byTopic = make(map[string]*feed.Feed)
	e.addFeed(feed.Options{
		Topic: platform.ConfigurationTopic, Period: feedPeriod, Wait: configurationWait,
		SparePeriod: sparePeriod, StaleAfter: staleAfter,
	}, e.takeConfiguration)
	e.addFeed(feed.Options{
		Topic: platform.RunnersTopic, Period: feedPeriod, SparePeriod: sparePeriod, StaleAfter: staleAfter,
	}, e.fleet.take)
	e.addFeed(feed.Options{
		Topic: membersTopic, Period: membersPeriod, SparePeriod: spareMembersPeriod, StaleAfter: 2 * membersPeriod,
	}, e.takeMembers)
}

const (
	// feedPeriod is the time between two reads of what is bound in time.
	feedPeriod = 400 * time.Millisecond
	// configurationWait is how long a read waits for a newer configuration. A
	// connection that has gone silent is noticed after it.
	configurationWait = 500 * time.Millisecond
	// sparePeriod is the time between two reads by a daemon that gets a topic
	// from others, and staleAfter the age of what it holds above which it reads
	// the store itself.
	sparePeriod = 16 * time.Second
	staleAfter  = 1100 * time.Millisecond
	// membersPeriod is the time between two reads of the list of daemons, who
	// also tell each other of themselves.
	membersPeriod      = 5 * time.Second
	spareMembersPeriod = 20 * time.Second
	// storeTimeout bounds a call to the store, and lostTimeout one while the
	// store does not answer.
	storeTimeout = 800 * time.Millisecond
	lostTimeout  = 500 * time.Millisecond
	// peerTimeout bounds a read at another daemon, which may be paused.
	peerTimeout = 250 * time.Millisecond
	// outageAfter is the time without a good read after which dropped records
	// may only have lapsed.
	outageAfter = 2 * time.Second
)

func (e *Entry) addFeed(options feed.Options, take func(feed.Batch)) {
	options.Timeout = storeTimeout + options.Wait
	options.LostTimeout = lostTimeout
	options.PeerTimeout = peerTimeout
	options.OutageAfter = outageAfter
	f := feed.New(e.Common, options, e.store, e.group, take)
	e.feeds = append(e.feeds, f)
	e.byTopic[options.Topic] = f
}

const (
	// defaultLease is used when the platform tells no lease time.
	defaultLease = 3 * time.Second
	dutiesPeriod = 250 * time.Millisecond
	// usageAfter leaves the time for two exchanges between daemons.
	usageAfter  = 1500 * time.Millisecond
	usageLimit  = 25 * time.Second
	orderPeriod = 500 * time.Millisecond
)

func (e *Entry) addDuties() {
	lease := e.settings.Bounds.LeaseTime
	if lease <= 0 {
		lease = defaultLease
	}
	e.duties = duties.New(e.Common, duties.Parts{
		Store: e.store, Platform: platform.NewDuties(e.settings.DutiesAddress, e.self.Name, newClient()),
		Usage: e.usage, TrueTime: e.trueTime, Orders: newOrders(e, scaling.DefaultOptions()),
	}, duties.Options{
		Topic: dutiesTopic, Self: process(e.self), Period: dutiesPeriod, Timeout: storeTimeout,
		UsageAfter: usageAfter, UsageLimit: usageLimit, OrderPeriod: orderPeriod,
		HasUsage: e.settings.HasUsageDuty, HasScaling: e.settings.HasScalingDuty,
		Lease: duty.DefaultOptions(lease),
	})
}

// newClient returns a client for the platform's own services, which gives up
// connections that are silent.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: lostTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
		DisableCompression: true,
	}}
}

// runnersAge returns the time since the runners were last read.
func (e *Entry) runnersAge() time.Duration {
	return e.Clock.Since(e.byTopic[platform.RunnersTopic].Good())
}

// ready reports whether the daemon can serve callers.
func (e *Entry) ready() bool {
	return !e.stopping.Load() && e.gateway.Catalog() != nil && e.fleet.known()
}

// Reload takes over what may change while the daemon runs: the addresses of other
// daemons. Requests under way are not touched.
func (e *Entry) Reload(settings platform.Settings) {
	e.group.SetSeeds(settings.Seeds)
	e.Log.Info("SettingsReloaded", "Seeds", settings.Seeds)
}

// Done is closed when Run has returned.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Run serves until ctx ends, and then stops as the platform asks.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.done)
	return e.run(ctx)
}
