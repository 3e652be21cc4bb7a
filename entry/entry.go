// Package entry wires up the components of an entry daemon on the users' platform
// into one process.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/clocksync"
	"github.com/cranberrywalk/cranberrywalk/duties"
	"github.com/cranberrywalk/cranberrywalk/dutylease"
	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/gateway"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/portlimit"
	"github.com/cranberrywalk/cranberrywalk/quota"
	"github.com/cranberrywalk/cranberrywalk/retry"
	"github.com/cranberrywalk/cranberrywalk/scaling"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/upstream"
	"github.com/cranberrywalk/cranberrywalk/usage"
	"github.com/cranberrywalk/cranberrywalk/versionlog"
)

// Entry is the daemon of one entry VM.
type Entry struct {
	telemetry.Common
	settings platform.Settings
	self     membership.Member

	store    store.Store
	balancer *balance.Balancer
	budget   *buffer.Budget
	bodies   *buffer.Bodies
	// messages bounds what other daemons send.
	messages    *buffer.Budget
	upstream    *upstream.Pool
	quotas      *quota.Limiter
	segments    *suspect.CrashTracker
	contents    *suspect.CrashTracker
	runs        *suspect.CrashTracker
	usage       *usage.Counter
	syncedClock *clocksync.Clock
	metrics     *metric.Set
	gateway     *gateway.Gateway
	group       *membership.Group
	duties      *duties.Duties
	runners     *runnerTracker
	versions    *versionlog.Log
	rollouts    *rolloutTracker
	demand      *demandMonitor
	// ledger counts the demand for services whose runners are ordered.
	ledger *scaling.Ledger
	// peerPort is the listener for other daemons; nil before Run.
	peerPort        atomic.Pointer[portlimit.Listener]
	feeds           []*feed.Feed
	feedsByTopic    map[string]*feed.Feed
	callers         *callerserver.Server
	readinessServer *http.Server
	metricsServer   *http.Server

	// configuring is held while a newer configuration is put in force.
	configuring sync.Mutex
	// configurationRecord is the record of the configuration in force; nil before the
	// first one.
	configurationRecord atomic.Pointer[latest.Record]
	// newerConfigurations receives a daemon that has a newer configuration in force.
	newerConfigurations chan membership.Member
	// announcement receives a value when the store has lost the daemon's own record.
	announcement chan struct{}
	// announced is the epoch of the store in which that record was last written; nil
	// before the first time.
	announced atomic.Pointer[uint64]

	// stopping is true from the start of a planned stop.
	stopping atomic.Bool
	// countsAreFinal is true once no more requests can start.
	countsAreFinal atomic.Bool
	// done is closed when Run has returned.
	done chan struct{}
}

// The topics that daemons, not the platform, define.
const (
	membersTopic = "keyed.members"
	dutiesTopic  = "duties"
	countsTopic  = "counts"
)

// New returns a daemon that is idle until Run.
func New(common telemetry.Common, settings platform.Settings) *Entry {
	now := common.Clock.Now()
	e := &Entry{
		Common: common, settings: settings, done: make(chan struct{}), announcement: make(chan struct{}, 1),
		newerConfigurations: make(chan membership.Member, 1),
		self: membership.Member{
			Name: settings.Name, Address: settings.PeerAddress, Zone: settings.Zone, Incarnation: ulid.Make().String(),
			Capacity: settings.CPUMillicores,
		},
		budget:      newBudget(common, settings.MemoryBytes),
		bodies:      buffer.NewBodies(buffer.BodyOptionsFor(settings.MemoryBytes)),
		messages:    buffer.New(buffer.MessageOptionsFor(settings.MemoryBytes)),
		quotas:      quota.New(quotaOptions(settings)),
		segments:    suspect.NewCrashTracker(crashOptions(common, "Segments", suspect.DefaultCrashOptions())),
		contents:    suspect.NewCrashTracker(crashOptions(common, "Contents", suspect.DefaultCrashOptions()).WithSettling(0)),
		runs:        suspect.NewCrashTracker(crashOptions(common, "Runs", suspect.RunCrashOptions())),
		usage:       usage.New(usageWindow(settings), usageWindowsKept),
		syncedClock: clocksync.New(clockOffsetLifetime, now),
		metrics:     metric.New(common.Metrics),
	}
	e.ledger = scaling.NewLedger(e.self.Zone)
	e.balancer = balance.New(balanceOptions(common, e.self), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.upstream = upstream.New(common, upstreamOptions(e.budget))
	e.store = store.NewObservedStore(platform.NewStore(settings.StoreAddress, newClient(e.budget)), common.Clock, e.countStoreCall)
	groupOptions := membership.DefaultOptions(e.self, settings.Seeds)
	groupOptions.Limit = e.limitPeers
	e.group = membership.New(common, groupOptions, peerHandler{e})
	e.versions = versionlog.New(common, versionlog.Dependencies{Store: e.store, Group: e.group}, versionOptions(settings, e.self))
	e.rollouts = newRolloutTracker(e)
	e.addGateway()
	e.addFeeds()
	e.demand = newDemandMonitor(e)
	e.demand.addDemandGauges()
	e.addDuties()
	e.rollouts.addDuty()
	e.addServers()
	return e
}

const (
	// usageWindowsKept is the number of usage windows that are kept in memory.
	usageWindowsKept = 12
	// clockOffsetLifetime is how long a measured offset to another VM's clock is
	// used.
	clockOffsetLifetime = 10 * time.Second
	// defaultUsageWindow is used when the platform sets none.
	defaultUsageWindow = 5 * time.Second
	// retryBudgetShare is the fraction of the platform's retry limit that is used.
	retryBudgetShare = 0.7
)

func (e *Entry) countStoreCall(call store.Call) {
	e.metrics.ObserveStoreCall(call.Name, call.Topic, string(call.Result), call.Duration)
}

// crashOptions returns the options of the tracker of a kind, whose findings are counted and
// logged.
func crashOptions(common telemetry.Common, kind string, options suspect.CrashOptions) suspect.CrashOptions {
	options.OnChange = func(change suspect.FindingChange) {
		f := change.Finding
		common.Count("Crashes."+kind+"."+string(change.Kind), 1)
		common.Log.Info("Crash"+string(change.Kind), kind, f.Traits, "Crashes", f.Crashes, "Trials", f.Trials,
			"FirstCrash", f.Since, "LastCrash", f.Last)
	}
	return options
}

func usageWindow(settings platform.Settings) time.Duration {
	if settings.Bounds.UsageWindow <= 0 {
		return defaultUsageWindow
	}
	return settings.Bounds.UsageWindow
}

func quotaOptions(settings platform.Settings) quota.Options {
	options := quota.DefaultOptions()
	options.AfterRestart = !settings.IsFirstStart
	options.Tolerance = quota.Tolerance{
		Window: settings.Bounds.QuotaWindow, Ratio: settings.Bounds.QuotaRatio, Units: settings.Bounds.QuotaSlack,
	}
	return options
}

func (e *Entry) addGateway() {
	bounds := e.settings.Bounds
	e.gateway = gateway.New(e.Common, gateway.Dependencies{
		Codec: platform.Codec{}, Balancer: e.balancer, Upstream: e.upstream, Bodies: e.bodies, Quotas: e.quotas,
		Segments: e.segments, Contents: e.contents, Runs: e.runs, Usage: e.usage, SyncedClock: e.syncedClock, Group: e.group,
		StreamVersions: e.versions, Rollouts: e.rollouts.controller, Demand: e.ledger, Mover: platform.NewMover(newClient(e.budget)), Meters: e.metrics, RunnersAge: e.runnersAge,
		RetryBudgets: gateway.NewRetryBudgets(retry.WindowOptions{
			Length: bounds.RetryWindow, Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, SafetyFactor: retryBudgetShare,
		}),
	}, gatewayOptions(bounds))
}

const (
	// defaultLease is used when the platform sets no lease time.
	defaultLease = 3 * time.Second
	dutiesPeriod = 250 * time.Millisecond
	// usageDelay leaves time for two gossip rounds between daemons.
	usageDelay = 1500 * time.Millisecond
	// outstandingDelay leaves time for a new holder of the duties to report before the
	// platform misses the report.
	outstandingDelay = 3 * time.Second
	// reportDelay leaves the same time for decided reports.
	reportDelay = time.Second
	usageMaxAge = 25 * time.Second
	orderPeriod = 500 * time.Millisecond
)

func (e *Entry) addDuties() {
	lease := e.settings.Bounds.LeaseTime
	if lease <= 0 {
		lease = defaultLease
	}
	e.duties = duties.New(e.Common, duties.Dependencies{
		Store: e.store, Platform: platform.NewCloudAPI(e.settings.CloudAPIAddress, e.self.Name, newClient(e.budget)),
		Usage: e.usage, SyncedClock: e.syncedClock, Scaler: newScaler(e, scaling.DefaultOptions()),
		PeerDelay: e.group.DigestDelay,
	}, duties.Options{
		Topic: dutiesTopic, CountsTopic: countsTopic, Process: instanceID(e.self), Period: dutiesPeriod, Timeout: storeTimeout,
		UsageDelay: usageDelay, OutstandingDelay: outstandingDelay, ReportDelay: reportDelay, UsageMaxAge: usageMaxAge, OrderPeriod: orderPeriod,
		ReportsUsage: e.settings.HasUsageDuty, SendsScaleOrders: e.settings.HasScalingDuty,
		Lease: dutylease.DefaultOptions(lease),
	})
}

// runnersAge returns the time since the runners were last read.
func (e *Entry) runnersAge() time.Duration {
	return e.Clock.Since(e.feedsByTopic[platform.RunnersTopic].LastConfirmed())
}

// ready reports whether the daemon is ready to serve callers.
func (e *Entry) ready() bool {
	return !e.stopping.Load() && e.gateway.Catalog() != nil && e.runners.isLoaded() && e.rollouts.mayServe()
}

// Reload applies the settings that may change at run time: the addresses of other
// daemons. Requests in progress are not affected.
func (e *Entry) Reload(settings platform.Settings) {
	e.group.SetSeeds(settings.Seeds)
	e.Log.Info("SettingsReloaded", "Seeds", settings.Seeds)
}

// Done is closed when Run has returned.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Run serves until ctx ends, and then stops within the platform's grace period.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.done)
	return e.run(ctx)
}
