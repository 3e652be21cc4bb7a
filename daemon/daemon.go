// Package daemon assembles the components of cranberrywalk into the process that
// runs on every entry VM.
package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/claimlog"
	"github.com/cranberrywalk/cranberrywalk/configuration"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/logstream"
	"github.com/cranberrywalk/cranberrywalk/order"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/retry"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/settings"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// Daemon is the process of one entry VM.
type Daemon struct {
	telemetry.Common
	settings settings.Settings
	// incarnation identifies this start of the process.
	incarnation string

	events        *timeline.Log
	configuration *configuration.Follower
	snapshotter   *configuration.Snapshotter
	rosterWatcher *rosterWatcher
	chooser       *chooser
	admitter      *admitter
	peerHandler   *peerHandler
	mesh          *peer.Mesh
	claimer       *claimlog.Claimer
	// orders is nil when the settings turn off the replacement of lost VMs.
	orders     *order.Controller
	client     *backend.Client
	dispatcher *dispatch.Dispatcher
	callers    *callerserver.Server
	admin      *http.Server

	// reclaimed is closed when the cloud, the VM list or a peer reports this VM as leaving.
	reclaimed     chan struct{}
	reclaimedOnce sync.Once
	// stopping is closed at the start of the planned stop.
	stopping chan struct{}
	// done is closed when Run has returned.
	done chan struct{}
}

// New returns a daemon that is started by Run.
func New(common telemetry.Common, s settings.Settings) *Daemon {
	stamps := timeline.NewClock(common)
	events := timeline.NewLog(common, stamps, s.Daemon.Name, s.Daemon.Zone, s.Timeline.Capacity)
	common.Events = events
	d := &Daemon{
		Common:      common,
		settings:    s,
		incarnation: ulid.Make().String(),
		events:      events,
		reclaimed:   make(chan struct{}),
		stopping:    make(chan struct{}),
		done:        make(chan struct{}),
	}
	d.addState()
	d.addPeers(stamps)
	d.addRequests()
	d.addListeners()
	return d
}

// addState adds the components that track the configuration, roster and claims.
func (d *Daemon) addState() {
	s := d.settings
	client := newClient()
	log := hostinghttp.NewLog(s.Platform.Log, client)
	appender := logstream.NewPublisher(d.Common, log, s.Platform.Timeout)
	d.configuration = configuration.NewFollower(d.Common, log, s.Platform.ConfigurationStream, s.Platform.LongPoll)
	d.snapshotter = configuration.NewSnapshotter(d.Common, d.configuration, appender, d.newRand())
	d.rosterWatcher = newRosterWatcher(d.Common, s.Daemon.Region, hostinghttp.NewVMList(s.Platform.VMList, client),
		hostinghttp.NewCloud(s.Platform.Cloud, client), s.Platform.PollInterval, s.Platform.LongPoll)
	d.rosterWatcher.onChange = d.onRosterChange
	d.chooser = newChooser(s, d.rosterWatcher)
	d.admitter = newAdmitter(d.identity())
	d.claimer = claimlog.New(d.Common, log, d.claimerOptions())
	d.addOrders(log, client)
}

func (d *Daemon) claimerOptions() claimlog.Options {
	options := claimlog.DefaultOptions()
	options.Stream = d.settings.Platform.ClaimStream
	options.Daemon = d.settings.Daemon.Name
	options.Incarnation = d.incarnation
	options.FlushInterval = d.settings.Claims.FlushInterval
	options.ReadWait = d.settings.Platform.LongPoll
	options.AppendTimeout = d.settings.Platform.Timeout
	options.Retention = d.settings.Claims.Retention
	options.ClaimOptions.Lifetime = d.settings.Claims.KeyLifetime
	options.ClaimOptions.MaxClaims = d.settings.Claims.MaxClaims
	return options
}

// addPeers adds the components that communicate with other daemons.
func (d *Daemon) addPeers(stamps *timeline.Clock) {
	s := d.settings
	d.peerHandler = &peerHandler{
		Common:        d.Common,
		name:          s.Daemon.Name,
		configuration: d.configuration,
		rosterWatcher: d.rosterWatcher,
		chooser:       d.chooser,
		answers:       answer.New(d.Common, d.answerOptions()),
		suspects:      suspect.New(suspect.DefaultOptions()),
		admitter:      d.admitter,
		crashes:       make(map[uint64]peer.Suspect),
	}
	options := peer.DefaultOptions(d.identity(), s.Peers.Address, rand.Uint64())
	options.Interval = s.Peers.Interval
	options.CallTimeout = s.Peers.CallTimeout
	options.Limit = d.limitPeers
	d.mesh = peer.New(d.Common, options, stamps, d.peerHandler)
}

func (d *Daemon) identity() peer.Identity {
	s := d.settings.Daemon
	return peer.Identity{Daemon: s.Name, Zone: s.Zone, Region: s.Region, Incarnation: d.incarnation}
}

func (d *Daemon) answerOptions() answer.Options {
	options := answer.DefaultOptions()
	options.MaxBytes = d.settings.Claims.AnswerBytes
	return options
}

// addRequests adds the components that forward requests to backend servers.
func (d *Daemon) addRequests() {
	s := d.settings
	now := d.Clock.Now()
	d.client = backend.New(d.Common, d.clientOptions())
	budget := retry.DefaultBudgetOptions()
	budget.Share = s.Retries.BudgetShare
	budget.FloorPerSecond = s.Retries.BudgetFloor
	options := dispatch.DefaultOptions()
	options.Daemon = s.Daemon.Name
	options.Incarnation = d.incarnation
	options.MaxAttempts = s.Retries.MaxAttempts
	d.dispatcher = dispatch.New(d.Common, dispatch.Dependencies{
		Client:    d.client,
		Chooser:   d.chooser,
		Claimer:   claimer{claimer: d.claimer, timeout: s.Claims.Timeout},
		Relayer:   relayer{mesh: d.mesh, timeout: s.Peers.RelayTimeout},
		Answers:   d.peerHandler.answers,
		Suspects:  d.peerHandler.suspects,
		Budget:    retry.NewBudget(budget, now),
		Backoff:   retry.NewBackoff(retry.DefaultBackoffOptions(), rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Mover:     cacheMover{client: newClient()},
		OnSuspect: d.onCrash,
	}, options)
}

func (d *Daemon) clientOptions() backend.Options {
	options := backend.DefaultOptions()
	options.DialTimeout = d.settings.Backends.ConnectTimeout
	options.StreamSilenceTimeout = d.settings.Backends.Silence
	options.MaxAnswerBytes = d.settings.Backends.MaxAnswerBytes
	return options
}

func (d *Daemon) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Ready returns nil when the daemon takes requests, or a *NotReadyError.
func (d *Daemon) Ready() error {
	select {
	case <-d.stopping:
		return &NotReadyError{Component: "the daemon is being stopped and"}
	default:
	}
	if _, ready := d.configuration.State(); !ready {
		return &NotReadyError{Component: "the configuration"}
	}
	if d.rosterWatcher.Roster().Version() == 0 {
		return &NotReadyError{Component: "the VM list"}
	}
	return nil
}

// onRosterChange passes a change of the roster to the components that depend on it.
func (d *Daemon) onRosterChange(r roster.Roster, effects []roster.Effect) {
	d.chooser.setMembers(r.Backends())
	d.chooser.dropUnlistedPeers(r.Peers())
	vms := listedVMs(r)
	d.admitter.setVMs(vms)
	d.mesh.SetVMs(vms)
	for _, effect := range effects {
		if effect.Kind == roster.BecameLeaving {
			d.onVMLeaving(effect)
		}
	}
}

// onVMLeaving notifies the peers of a leaving VM and moves its streams elsewhere.
func (d *Daemon) onVMLeaving(effect roster.Effect) {
	if effect.VM.Name == d.settings.Daemon.Name {
		d.reclaimedOnce.Do(func() { close(d.reclaimed) })
		return
	}
	// A goroutine avoids a deadlock: both calls take locks of components that apply
	// events to the roster, and no event is applied until onRosterChange returns.
	go func() {
		d.mesh.Publish()
		d.dispatcher.MoveStreams(effect.VM.Name)
	}()
}

func listedVMs(r roster.Roster) []hosting.VM {
	vms := append([]hosting.VM(nil), r.Peers()...)
	for _, member := range r.Backends() {
		vms = append(vms, member.VM)
	}
	return vms
}

// onCrash notifies the peers that a request has crashed a backend server.
func (d *Daemon) onCrash(entry suspect.Entry) {
	d.peerHandler.addCrash(entry)
	d.mesh.Publish()
}

// Done returns a channel that is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// bootTimeout is how long a daemon waits for the log service before it requests
// the configuration from its peers, and the interval between two such requests.
const bootTimeout = 2 * time.Second

// bootFromPeers fetches the configuration from peers when the log can't be read.
func (d *Daemon) bootFromPeers(ctx context.Context) {
	for {
		timer := d.Clock.NewTimer(bootTimeout)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		}
		if _, ready := d.configuration.State(); ready {
			return
		}
		snapshot, _, err := d.mesh.FetchConfiguration(ctx)
		if err != nil || d.configuration.Adopt(snapshot) != nil {
			continue
		}
		d.configuration.MarkSyncedWithPeers()
	}
}
