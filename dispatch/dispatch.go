package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/retry"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Target is the backend server that was chosen for an attempt.
type Target struct {
	// Name is the VM name.
	Name string
	Zone string
	// Address is the host and port for requests.
	Address string
}

// Observation is the result of an attempt as far as it concerns the backend
// server.
type Observation struct {
	// Fault is empty after a complete response. Cancelled implies no fault of the
	// backend server.
	Fault backend.FaultKind
	// Status is the HTTP status, or zero when no response head arrived.
	Status int
	// The token counts are zero when the response did not report them.
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
	// FirstToken is the time from the start of the attempt to the first token of
	// a stream; zero when none arrived.
	FirstToken time.Duration
	// Duration is the time from the start of the attempt to its end.
	Duration time.Duration
}

// Chooser selects backend servers and is informed about the attempts.
type Chooser interface {
	// Choose returns a backend server for the next attempt that is not among the
	// excluded ones. It fails with a *NoBackendError or an *OverloadError.
	Choose(r request.Request, excluded []string, now time.Time) (Target, error)
	// AttemptStarted and AttemptEnded are called once for each target that Choose
	// returned, even if no attempt is made.
	AttemptStarted(target Target, r request.Request)
	AttemptEnded(target Target, r request.Request, observed Observation)
}

// FirstTokenObserver is an optional interface of a Chooser. FirstToken is called
// between AttemptStarted and AttemptEnded when the first token of an attempt arrives.
type FirstTokenObserver interface {
	FirstToken(target Target, r request.Request)
}

// ClaimResult is the result of a claim: which daemon holds the idempotency key.
type ClaimResult struct {
	Won bool
	// Claim is the daemon's own claim if Won is true.
	Claim claim.Claim
	// Winner is the first claim for the key if Won is false.
	Winner claim.Claim
}

// Claimer makes and releases claims. Any error of Claim means that the claim was
// not won; a *ConflictError means that the key was used with another payload.
type Claimer interface {
	Claim(ctx context.Context, key claim.Key, fingerprint uint64) (ClaimResult, error)
	// Release releases a claim under which nothing was and nothing will be
	// written.
	Release(ctx context.Context, own claim.Claim) error
}

// Relayer fetches the final answer from the daemon that holds a claim, waiting
// for it if it is still pending.
type Relayer interface {
	Relay(ctx context.Context, winner claim.Claim) (answer.Answer, error)
}

// Writer writes the response to the caller.
type Writer interface {
	// Head is called at most once, before any Chunk.
	Head(status int, header http.Header) error
	// Chunk writes a part of the body; in a stream, one complete event.
	Chunk(piece []byte) error
}

// Finisher is an optional interface of a Writer. Finish is called once, when the
// outcome is final. A claim is released only after Finish returns, so that the
// caller receives the outcome NotRun before another daemon can run a request with
// the key.
type Finisher interface {
	Finish(result Result)
}

// CacheMover copies the KV cache of a stream from one model engine to another, so
// that the target does not recompute the prompt. The stream continues on the
// source during the copy.
type CacheMover interface {
	MoveCache(ctx context.Context, requestID string, from, to Target) error
}

// Options configures a dispatcher.
type Options struct {
	// Daemon and Incarnation identify this process in claims.
	Daemon      string
	Incarnation string
	// MaxAttempts limits the attempts of a request, not counting moves.
	MaxAttempts int
	// RetryAfter is the wait suggested to callers when the failure does not
	// specify one.
	RetryAfter time.Duration
	// ReleaseTimeout limits the time for releasing a claim.
	ReleaseTimeout time.Duration
	// MoveTimeout limits the time for copying the KV cache of one stream. When it
	// expires, the stream is continued without the cache.
	MoveTimeout time.Duration
	// MaxTextBytes limits the text of a stream that is buffered for continuing
	// it, and the body that is stored for other requests with the same key.
	MaxTextBytes int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		MaxAttempts:    4,
		RetryAfter:     time.Second,
		ReleaseTimeout: 2 * time.Second,
		MoveTimeout:    500 * time.Millisecond,
		MaxTextBytes:   1 << 20,
	}
}

// Dependencies holds the components that a dispatcher uses.
type Dependencies struct {
	Client   *backend.Client
	Chooser  Chooser
	Claimer  Claimer
	Relayer  Relayer
	Answers  *answer.Store
	Suspects *suspect.Tracker
	Budget   *retry.Budget
	Backoff  *retry.Backoff
	// Mover may be nil; streams are then continued without their KV cache.
	Mover CacheMover
	// OnSuspect is called for every crash that this daemon adds to Suspects, so
	// that it can be propagated to the other daemons at once. It may be nil.
	OnSuspect func(entry suspect.Entry)
}

// Dispatcher drives requests to their outcome. It is safe for concurrent use.
type Dispatcher struct {
	telemetry.Common
	Dependencies
	options Options

	mu sync.Mutex
	// inFlight holds the requests that have not ended.
	inFlight map[*inFlightRequest]struct{}
	// crashes holds when crashes were last recorded; guarded by mu.
	crashes *lru.Cache[crashKey, time.Time]
	// draining is never reset.
	draining bool
	// drainEnd is when a planned stop ends the requests in flight; zero before DrainBy.
	drainEnd time.Time
	// drained is closed when draining is true and inFlight is empty.
	drained chan struct{}
}

// New returns a dispatcher with no requests.
func New(common telemetry.Common, dependencies Dependencies, options Options) *Dispatcher {
	return &Dispatcher{
		Common:       common,
		Dependencies: dependencies,
		options:      options,
		inFlight:     make(map[*inFlightRequest]struct{}),
		crashes:      newCrashCache(),
		drained:      make(chan struct{}),
	}
}

// Do drives a request to its end and returns the result. It writes only complete
// responses to w; for a stream, only complete events. The end of ctx means that
// the caller has disconnected.
func (d *Dispatcher) Do(ctx context.Context, r request.Request, w Writer) Result {
	f := newInFlightRequest(d, r, w)
	defer f.close()
	f.setContexts(ctx)
	f.recordEvent("RequestAccepted", "", r.Target())
	result := f.run()
	f.conclude(result)
	return result
}
