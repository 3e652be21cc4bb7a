// Package gateway is the reverse proxy between callers and runners. It chooses the
// runner for a request, retries failed attempts where that is safe, and generates
// the error response when no runner has answered.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/admission"
	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/clocksync"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/quota"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/upstream"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// Codec translates between HTTP messages and calls.
type Codec interface {
	// DecodeCall returns the call of a request, without its body. Its errors
	// name the field that can't be read.
	DecodeCall(r *http.Request) (call.Call, error)
	// RunnerHeader returns the header fields that are sent to a runner.
	RunnerHeader(c call.Call, attempt call.Attempt) http.Header
	// DecodeAnswer returns the call ID, the signature and the rejection that a
	// runner's response carries, and what the runner says of itself.
	DecodeAnswer(status int, header http.Header) call.AnswerMetadata
	// CallerHeader returns the header fields of a runner's response that are
	// passed on to the caller.
	CallerHeader(header http.Header) http.Header
	// RefusalHeader returns the header fields of an error response that the
	// daemon generates itself.
	RefusalHeader(callID string, retryAfter time.Duration) http.Header
}

// Mover copies the KV caches of runs to other runners and stops runs. The method
// PauseWanted of an error, if it has one, returns for how long the runner that turned the
// request away wants no others.
type Mover interface {
	// CopyRun copies the KV cache of a run to the target while the run continues, and
	// returns the handle of the complete copy. The run is not affected by an error.
	CopyRun(ctx context.Context, source, callID, target string) (handle string, err error)
	// StopRun ends a run at its runner and copies the rest of its KV cache to the
	// target. copied is false when the run can only continue at its source. After an
	// error whose method Refused or NeverSent returns true the run continues; after any
	// other one the run may have been stopped.
	StopRun(ctx context.Context, source, callID, target string) (run call.StoppedRun, copied bool, err error)
	// FreeRun frees the memory of a handle at a runner.
	FreeRun(ctx context.Context, runner, handle string) error
}

// Group is the set of daemons that share the runners and the retry budgets.
type Group interface {
	// Size returns the number of known daemons, including this one.
	Size() int
	// Decides reports whether this daemon is the one of the group that decides on the matter
	// with the key.
	Decides(key string) bool
}

// StreamVersions knows which software version began each stream, at all daemons.
type StreamVersions interface {
	// VersionToBegin returns the version at which a new stream of a service should begin, or empty
	// if any may begin it.
	VersionToBegin(service string) string
	// DefaultVersion returns the version whose streams need no record, or empty if there is none.
	DefaultVersion(service string) string
	// NeedsRecord reports whether a stream that a version begins has to be recorded before its
	// caller gets an event.
	NeedsRecord(service, version string) bool
	// CanRecord reports whether the record of a stream that begins now is likely to be written in
	// time.
	CanRecord() bool
	// Record records which version begins a stream. The channel is closed once that is done.
	Record(record streamversion.Record) (recorded <-chan struct{})
	// Withdraw withdraws a record, and reports whether the store neither holds it nor will.
	Withdraw(record streamversion.Record) bool
	// Remember keeps the version of a stream that this daemon serves.
	Remember(stream streamversion.Stream, version string)
	// Find returns the version that began a stream. It fails with a *streamversion.UnknownError.
	Find(ctx context.Context, query streamversion.Query) (streamversion.Found, error)
}

// Options sets the limits and timeouts for requests.
type Options struct {
	// MaxUnwrittenAttempts bounds the attempts of a request that wrote nothing to a
	// runner of the service.
	MaxUnwrittenAttempts int
	// StartWait is how long a request waits at a daemon that has just started
	// for the configuration and the list of runners.
	StartWait time.Duration
	// DefaultTimeout is the timeout of a request whose caller sets none.
	DefaultTimeout time.Duration
	// StreamIdleTimeout is how long a resumable stream may have no event after
	// its first one before another attempt is made beside the silent one.
	StreamIdleTimeout time.Duration
	// FirstEventShare is the fraction of a request's remaining time after which
	// an attempt without a response counts as silent, and another one is made
	// beside it. It applies to resumable streams and idempotent requests.
	FirstEventShare float64
	// MoveDelay is how long a stream stays at a runner that is leaving before it
	// is moved, since many streams end within that time.
	MoveDelay time.Duration
	// ReturnTime bounds the time from the moment at which a runner is found to leave to the
	// return of a moved stream to it, if another runner can take the stream up.
	ReturnTime time.Duration
	// CopyTimeout bounds the copy of a run's KV cache, during which the run continues.
	CopyTimeout time.Duration
	// MoveTimeout bounds the request to stop a run that was copied.
	MoveTimeout time.Duration
	// MaxPlainRequestsPerSlot is the number of running and queued requests of a plain
	// service, per slot of its runners, from which on at most half of what they can answer is admitted.
	MaxPlainRequestsPerSlot float64
	// Admission holds the options of admission.
	Admission admission.Options
	// RecordTimeout is how long the first event of a stream waits for the record of its version
	// before another version is tried that needs none.
	RecordTimeout time.Duration
	// TrialShare is the share of a service's requests that a version gets on trial, or zero without
	// roll-outs.
	TrialShare float64
	// ConnectionShare is the fraction of a runner's connections that the daemons
	// divide among themselves.
	ConnectionShare float64
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		MaxUnwrittenAttempts: 6, StartWait: 250 * time.Millisecond, DefaultTimeout: 30 * time.Second, StreamIdleTimeout: 1500 * time.Millisecond,
		FirstEventShare: 0.4, MoveDelay: 400 * time.Millisecond, ReturnTime: 500 * time.Millisecond, CopyTimeout: time.Second,
		MoveTimeout: 500 * time.Millisecond, MaxPlainRequestsPerSlot: 4, RecordTimeout: 600 * time.Millisecond,
		ConnectionShare: 0.9, Admission: admission.DefaultOptions(),
	}
}

// Dependencies are the dependencies of a gateway.
type Dependencies struct {
	Codec    Codec
	Balancer *balance.Balancer
	Upstream *upstream.Pool
	// Bodies bounds the bytes of requests' bodies. Nil means no limit.
	Bodies *buffer.Bodies
	Quotas *quota.Limiter
	// Segments and Contents track the segments of prompts, and the requests, that crash
	// runners at the begin of their answers. Runs tracks the requests that do so at any time.
	Segments, Contents, Runs *suspect.CrashTracker
	Usage                    *usage.Counter
	SyncedClock              *clocksync.Clock
	RetryBudgets             *RetryBudgets
	Group                    Group
	StreamVersions           StreamVersions
	Rollouts                 Rollouts
	Demand                   Demand
	Mover                    Mover
	Meters                   *metric.Set
	// RunnersAge returns the time since the list of runners was last read.
	RunnersAge func() time.Duration
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	telemetry.Common
	Dependencies
	options Options
	// admission decides which requests are carried.
	admission *admission.Controller
	// catalog is nil until a configuration is known.
	catalog atomic.Pointer[catalog.Catalog]
	// ready is closed by MarkReady.
	ready     chan struct{}
	readyOnce sync.Once
	// stopEnd is when a planned stop ends the requests under way, or nil before Drain.
	stopEnd atomic.Pointer[time.Time]

	mutex sync.Mutex
	// streams holds the open streams by runner; guarded by mutex.
	streams map[string]map[*exchange]struct{}
}

// New returns a gateway without a configuration.
func New(common telemetry.Common, dependencies Dependencies, options Options) *Gateway {
	return &Gateway{
		Common: common, Dependencies: dependencies, options: options, ready: make(chan struct{}),
		admission: newAdmission(options.Admission, dependencies.Balancer), streams: make(map[string]map[*exchange]struct{}),
	}
}

// SetCatalog replaces the configuration.
func (g *Gateway) SetCatalog(c *catalog.Catalog) { g.catalog.Store(c) }

// Catalog returns the current configuration, or nil.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// MarkReady ends the wait of requests that arrived before the daemon was ready.
func (g *Gateway) MarkReady() { g.readyOnce.Do(func() { close(g.ready) }) }

// awaitReady waits for MarkReady, for at most StartWait: a daemon that has just
// started reads what it needs within milliseconds if the store answers.
func (g *Gateway) awaitReady(ctx context.Context) {
	select {
	case <-g.ready:
		return
	default:
	}
	timer := g.Clock.NewTimer(g.options.StartWait)
	defer timer.Stop()
	select {
	case <-g.ready:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, refusal := g.admit(w, r)
	if refusal != nil {
		x.machine = request.NewMachine(request.Request{})
		x.apply(request.GivenUp)
		x.refuse(refusal)
		return
	}
	defer x.close()
	if x.route.Kind == catalog.Stream {
		x.serveStream()
		return
	}
	x.servePlain()
}
