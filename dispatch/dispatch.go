package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

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

// Observation is what an attempt showed about its backend server.
type Observation struct {
	// Fault is empty after a whole answer. Cancelled says nothing about the
	// backend server.
	Fault backend.FaultKind
	// Status is the HTTP status, or zero when no answer began.
	Status int
	// The counts of tokens are zero when the answer did not tell them.
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
	// FirstToken is the time from the attempt's begin to the first token of
	// a stream; it is zero when none came.
	FirstToken time.Duration
	// Duration is the time from the attempt's begin to its end.
	Duration time.Duration
}

// Chooser selects backend servers and learns from attempts.
type Chooser interface {
	// Choose returns the backend server for the next attempt, other than the
	// excluded ones. It fails with a *NoBackendError or an *OverloadError.
	Choose(r request.Request, excluded []string, now time.Time) (Target, error)
	// Began and Ended are called once for each target that Choose returned,
	// also for one that is not used.
	Began(target Target, r request.Request)
	Ended(target Target, r request.Request, seen Observation)
}

// FirstTokenObserver may be implemented by a Chooser. FirstToken is called when
// the first token of an attempt has arrived, between Began and Ended.
type FirstTokenObserver interface {
	FirstToken(target Target, r request.Request)
}

// Verdict tells who holds a key.
type Verdict struct {
	Won bool
	// Claim is the daemon's own claim when Won.
	Claim claim.Claim
	// Winner is the first claim for the key when not Won.
	Winner claim.Claim
}

// Claimer makes claims. Every error of Claim means that the claim was not
// won; a *ConflictError says that the key belongs to another payload.
type Claimer interface {
	Claim(ctx context.Context, key claim.Key, fingerprint uint64) (Verdict, error)
	// Release gives back a claim under which nothing was and will be written.
	Release(ctx context.Context, own claim.Claim) error
}

// Relayer fetches the final answer from the daemon that holds a claim, and
// waits for it when it is in progress.
type Relayer interface {
	Relay(ctx context.Context, winner claim.Claim) (answer.Answer, error)
}

// Writer takes the answer for the caller.
type Writer interface {
	// Head is called at most once, before any Chunk.
	Head(status int, header http.Header) error
	// Chunk passes on a piece of the body, in a stream one whole event.
	Chunk(piece []byte) error
}

// Finisher may be implemented by a Writer. Finish is called once, when the
// outcome stands. A claim is released only after Finish has returned, so that
// a caller who is told NotRun is told before anybody else can run the key.
type Finisher interface {
	Finish(result Result)
}

// CacheMover copies the KV cache of a stream from one model engine to another,
// so that the other one does not compute the prompt again. The stream goes on
// where it is meanwhile.
type CacheMover interface {
	MoveCache(ctx context.Context, requestID string, from, to Target) error
}

// Options sets how requests are driven.
type Options struct {
	// Daemon and Incarnation name this process in claims.
	Daemon      string
	Incarnation string
	// MaxAttempts bounds the attempts of a request, without moves.
	MaxAttempts int
	// RetryAfter is told to callers when nothing better is known.
	RetryAfter time.Duration
	// ReleaseTimeout bounds the release of a claim.
	ReleaseTimeout time.Duration
	// MoveTimeout bounds the copy of one stream's KV cache. A stream whose
	// cache was not copied by then is continued without it.
	MoveTimeout time.Duration
	// MaxTextBytes bounds the text that is kept of a stream to continue it.
	MaxTextBytes int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		MaxAttempts:    4,
		RetryAfter:     time.Second,
		ReleaseTimeout: 2 * time.Second,
		MoveTimeout:    500 * time.Millisecond,
		MaxTextBytes:   1 << 20,
	}
}

// Parts are what a dispatcher works with.
type Parts struct {
	Link     *backend.Link
	Chooser  Chooser
	Claimer  Claimer
	Relayer  Relayer
	Answers  *answer.Store
	Suspects *suspect.Book
	Budget   *retry.Budget
	Backoff  *retry.Backoff
	// Mover may be nil; streams are then continued without their caches.
	Mover CacheMover
	// OnSuspect is told of every crash that this daemon adds to Suspects, so
	// that it can be spread at once. It may be nil.
	OnSuspect func(entry suspect.Entry)
}

// Dispatcher drives requests. It is safe for use by several goroutines.
type Dispatcher struct {
	telemetry.Common
	Parts
	options Options

	mu sync.Mutex
	// flights holds the requests that have not ended.
	flights map[*flight]struct{}
	// draining never goes back to false.
	draining bool
	// idle is closed when draining is true and flights is empty.
	idle chan struct{}
}

// New returns a dispatcher without requests.
func New(common telemetry.Common, parts Parts, options Options) *Dispatcher {
	return &Dispatcher{
		Common:  common,
		Parts:   parts,
		options: options,
		flights: make(map[*flight]struct{}),
		idle:    make(chan struct{}),
	}
}

// Do drives a request to its end and returns the outcome. Only a whole answer
// is passed to w, or, of a stream, its whole events. When ctx ends, the caller
// has gone.
func (d *Dispatcher) Do(ctx context.Context, r request.Request, w Writer) Result {
	f := newFlight(d, r, w)
	defer f.close()
	f.bound(ctx)
	f.record("RequestAccepted", "", r.Target())
	result := f.run()
	f.conclude(result)
	return result
}
