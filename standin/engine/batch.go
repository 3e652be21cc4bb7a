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

// QueueFullError reports that the queue of an engine is full.
type QueueFullError struct {
	Waiting int
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d requests are waiting", e.Waiting)
}

// stream is a request in the batch or in the queue.
type stream struct {
	id string
	// seed and position determine the next word; see word.
	seed     uint64
	position int
	// remaining is the number of words still to be generated. At first it
	// equals the capacity of words, so that the batch never blocks on a slow
	// reader.
	remaining int
	words     chan string
	blocks    []uint64
	// promptTokens is the number of tokens of the prompt, and cachedTokens the
	// number of those found in the prefix cache. cachedTokens is set before the
	// first word is sent.
	promptTokens int
	cachedTokens int
	// priority orders the queue; lower numbers go first.
	priority  int
	cancelled atomic.Bool
}

// batch does continuous batching: in each step waiting streams join, and every
// running stream gets one token.
type batch struct {
	clock      clock.Clock
	parameters Parameters
	// slowdown returns the factor by which steps take longer.
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

// submit queues a stream behind those of the same priority.
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

// run executes steps until ctx ends, and then closes done.
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

// admit drops cancelled streams, moves waiting streams into the batch and returns
// the duration of the next step. It returns false when the batch is empty.
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
		next.cachedTokens = min(b.cache.access(next.blocks, b.clock.Now()), next.promptTokens)
		computed += next.promptTokens - next.cachedTokens
		b.running = append(b.running, next)
	}
	if len(b.running) == 0 {
		return 0, false
	}
	return b.parameters.prefillTime(computed) + b.parameters.decodeTime(len(b.running)), true
}

// emit sends one word to every running stream and removes the completed ones.
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

// loadReport returns the current load. Models are not filled in.
func (b *batch) loadReport() hosting.LoadReport {
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

// find returns the running stream with a request ID.
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
