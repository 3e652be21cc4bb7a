package engine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// QueueFullError says that an engine has too many waiting requests.
type QueueFullError struct {
	Waiting int
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d requests are waiting", e.Waiting)
}

// stream is one request in the batch or in the queue.
type stream struct {
	id string
	// seed and position determine the next word.
	seed     uint64
	position int
	// remaining is the number of words to come; it is the capacity of words,
	// so that the batch never waits for a reader.
	remaining int
	words     chan string
	blocks    []uint64
	// promptTokens counts the tokens of the prompt, and cachedTokens those
	// that were in the prefix cache. cachedTokens is set before the first
	// word is sent.
	promptTokens int
	cachedTokens int
	// priority orders the queue; lower numbers are first.
	priority  int
	cancelled atomic.Bool
}

// batch does continuous batching: in each step every running stream gets one
// token, and waiting streams join.
type batch struct {
	clock      clock.Clock
	parameters Parameters
	// slowdown returns the factor by which steps are slower.
	slowdown func() float64
	wake     chan struct{}
	done     chan struct{}

	mu      sync.Mutex
	running []*stream
	// waiting is ordered by priority and then by arrival.
	waiting []*stream
	cache   *cache
}

func newBatch(c clock.Clock, parameters Parameters, slowdown func() float64) *batch {
	return &batch{
		clock:      c,
		parameters: parameters,
		slowdown:   slowdown,
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		cache:      newCache(parameters.CacheTokens),
	}
}

// submit puts a stream into the queue behind those of the same priority.
func (b *batch) submit(s *stream) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= b.parameters.MaxQueue {
		return &QueueFullError{Waiting: len(b.waiting)}
	}
	at := slices.IndexFunc(b.waiting, func(other *stream) bool { return other.priority > s.priority })
	if at < 0 {
		at = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, at, s)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// run takes steps until ctx ends. It closes done.
func (b *batch) run(ctx context.Context) {
	defer close(b.done)
	for {
		duration, busy := b.admit()
		if !busy {
			select {
			case <-b.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if duration > 0 {
			_ = clock.Sleep(ctx, b.clock, time.Duration(float64(duration)*b.slowdown()))
		}
		if ctx.Err() != nil {
			return
		}
		b.emit()
	}
}

// admit drops cancelled streams, moves waiting streams into the batch, and
// returns how long the next step takes.
func (b *batch) admit() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isCancelled := func(s *stream) bool { return s.cancelled.Load() }
	b.running = slices.DeleteFunc(b.running, isCancelled)
	b.waiting = slices.DeleteFunc(b.waiting, isCancelled)
	computed := 0
	for len(b.waiting) > 0 && len(b.running) < b.parameters.MaxBatch && computed < b.parameters.PrefillStepTokens {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		next.cachedTokens = min(b.cache.use(next.blocks, b.clock.Now()), next.promptTokens)
		computed += next.promptTokens - next.cachedTokens
		b.running = append(b.running, next)
	}
	if len(b.running) == 0 {
		return 0, false
	}
	return b.parameters.prefillTime(computed) + b.parameters.decodeTime(len(b.running)), true
}

// emit sends one word to every running stream, and ends those that have all.
func (b *batch) emit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running {
		s.words <- word(s.seed, s.position)
		s.position++
		s.remaining--
		if s.remaining == 0 {
			close(s.words)
		}
	}
	b.running = slices.DeleteFunc(b.running, func(s *stream) bool { return s.remaining == 0 })
}

// report returns the load.
func (b *batch) report() hosting.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := hosting.LoadReport{
		Running:      len(b.running),
		Queued:       len(b.waiting),
		CachedTokens: b.cache.tokens(),
		Time:         b.clock.Now(),
	}
	for _, s := range b.waiting {
		report.QueuedTokens += s.promptTokens
	}
	return report
}

// find returns the running stream of a request.
func (b *batch) find(requestID string) (*stream, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.IndexFunc(b.running, func(s *stream) bool { return s.id == requestID })
	if at < 0 {
		return nil, false
	}
	return b.running[at], true
}

// clear drops all streams and the cache.
func (b *batch) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running, b.waiting = nil, nil
	b.cache = newCache(b.parameters.CacheTokens)
}
