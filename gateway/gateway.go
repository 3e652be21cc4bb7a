// Package gateway carries callers' requests to runners and the runners' answers
// back. It decides which runner gets a request, how often it is sent, and what
// the caller is told when there is no answer.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/quota"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/truetime"
	"github.com/cranberrywalk/cranberrywalk/upstream"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// Codec translates between HTTP messages and calls.
type Codec interface {
	// DecodeCall returns the call of a request, without its body. Its errors
	// name the field that can't be read.
	DecodeCall(r *http.Request) (call.Call, error)
	// RunnerHeader returns the header fields that a runner gets.
	RunnerHeader(c call.Call, attempt call.Attempt) http.Header
	// DecodeAnswer returns what a runner says about its answer.
	DecodeAnswer(status int, header http.Header) call.AnswerHead
	// CallerHeader returns the fields of a runner's answer that the caller
	// gets.
	CallerHeader(header http.Header) http.Header
	// RefusalHeader returns the fields of an answer of the daemon's own.
	RefusalHeader(callID string, retryAfter time.Duration) http.Header
}

// Mover stops runs and copies their memory.
type Mover interface {
	// Stop ends a run at its runner and copies its memory to the target.
	// copied is false when the run can only go on at its source. An error
	// means that the run was not stopped, or that its memory is lost.
	Stop(ctx context.Context, source, callID, target string) (run call.StoppedRun, copied bool, err error)
}

// Group counts the daemons.
type Group interface {
	// Known is the number of daemons that are known, with this one.
	Known() int
}

// Options sets how requests are carried.
type Options struct {
	// MostUnwritten bounds the attempts of a request that wrote nothing.
	MostUnwritten int
	// StartWait is how long a request waits at a daemon that has just started
	// for the configuration and the runners.
	StartWait time.Duration
	// DefaultPatience is the time for a request that doesn't say how long its
	// caller waits.
	DefaultPatience time.Duration
	// StreamSilence is how long a stream that can be resumed may have no event
	// after its first one.
	StreamSilence time.Duration
	// FirstEventShare is the part of the time for a stream that can be resumed
	// or an idempotent request after which an attempt without an answer is
	// given up for another one.
	FirstEventShare float64
	// MoveAfter is how long a stream stays at a runner that leaves, since many
	// end in that time.
	MoveAfter time.Duration
	// MoveTimeout bounds the move of a stream to another runner.
	MoveTimeout time.Duration
	// PlainQueue bounds the requests at a plain service, in slots.
	PlainQueue float64
	// ConnectionShare is the part of a runner's connections that the daemons
	// divide.
	ConnectionShare float64
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		MostUnwritten: 6, StartWait: 250 * time.Millisecond, DefaultPatience: 30 * time.Second, StreamSilence: 1500 * time.Millisecond,
		FirstEventShare: 0.4, MoveAfter: 400 * time.Millisecond, MoveTimeout: 500 * time.Millisecond, PlainQueue: 4, ConnectionShare: 0.9,
	}
}

// Parts are what a gateway works with.
type Parts struct {
	Codec    Codec
	Balancer *balance.Balancer
	Upstream *upstream.Pool
	Quotas   *quota.Book
	Suspects *suspect.Book
	Usage    *usage.Book
	TrueTime *truetime.Clock
	Retries  *Retries
	Group    Group
	Mover    Mover
	Meters   *metric.Set
	// RunnersAge tells how old the knowledge of the runners is.
	RunnersAge func() time.Duration
}

// Gateway serves callers. It is safe for use by several goroutines.
type Gateway struct {
	telemetry.Common
	Parts
	options Options
	// catalog is nil until a configuration is known.
	catalog atomic.Pointer[catalog.Catalog]
	// begun is closed by Begin.
	begun     chan struct{}
	beginOnce sync.Once

	mutex sync.Mutex
	// streams holds the streams under way by runner; guarded by mutex.
	streams map[string]map[*visit]struct{}
}

// New returns a gateway without a configuration.
func New(common telemetry.Common, parts Parts, options Options) *Gateway {
	return &Gateway{
		Common: common, Parts: parts, options: options, begun: make(chan struct{}),
		streams: make(map[string]map[*visit]struct{}),
	}
}

// SetCatalog puts a configuration in force.
func (g *Gateway) SetCatalog(c *catalog.Catalog) { g.catalog.Store(c) }

// Catalog returns the configuration in force, or nil.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// Begin lets requests in. Those that came before have waited for it for a moment.
func (g *Gateway) Begin() { g.beginOnce.Do(func() { close(g.begun) }) }

// awaitBegin waits for Begin, but not for long: a daemon that has just started
// reads what it needs within milliseconds if the store answers.
func (g *Gateway) awaitBegin(ctx context.Context) {
	select {
	case <-g.begun:
		return
	default:
	}
	timer := g.Clock.NewTimer(g.options.StartWait)
	defer timer.Stop()
	select {
	case <-g.begun:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v, refusal := g.admit(w, r)
	if refusal != nil {
		v.machine = request.NewMachine(request.Request{})
		v.apply(request.GivenUp)
		v.refuse(refusal)
		return
	}
	defer v.close()
	if v.route.Kind == catalog.Stream {
		v.serveStream()
		return
	}
	v.servePlain()
}
