package logstream

import (
	"context"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options configure a subscriber.
type Options struct {
	// StartOffset returns the offset that a subscription of a topic starts at.
	// Without it, a subscription starts at offset 0.
	StartOffset func(topic string) uint64
	// OnTrimmed is called when retention has removed the next record. It returns
	// the offset to continue at, or an error to be called again after a backoff.
	// Without it, a subscription continues at the oldest retained record. All
	// messages that were delivered before are acknowledged.
	OnTrimmed func(ctx context.Context, trimmed *hosting.TrimmedError) (uint64, error)
	// OnCaughtUp is called when every record before next has been acknowledged and
	// the log had no further one.
	OnCaughtUp func(topic string, next uint64)
	// ReadLimit is the maximum number of records per read.
	ReadLimit int
	// Wait is how long a read waits for new records.
	Wait time.Duration
	// Timeout bounds a read, in addition to Wait; 0 sets no limit.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pauses between failed reads.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultOptions returns options that deliver new records with little delay.
func DefaultOptions() Options {
	return Options{
		ReadLimit:  500,
		Wait:       time.Second,
		Timeout:    2 * time.Second,
		MinBackoff: 50 * time.Millisecond,
		MaxBackoff: 2 * time.Second,
	}
}

// Subscriber delivers the records of streams in order, each until it is
// acknowledged. It survives outages of the log.
type Subscriber struct {
	telemetry.Common
	log     hosting.Log
	options Options
	// done is closed when all subscriptions have ended after Close.
	done chan struct{}

	mu     sync.Mutex
	closed bool
	// cancels holds the cancel functions of the subscriptions by ID.
	cancels map[int]context.CancelFunc
	lastID  int
	readers sync.WaitGroup
}

var _ message.Subscriber = (*Subscriber)(nil)

// NewSubscriber returns a subscriber without subscriptions.
func NewSubscriber(common telemetry.Common, log hosting.Log, options Options) *Subscriber {
	return &Subscriber{
		Common:  common,
		log:     log,
		options: options,
		done:    make(chan struct{}),
		cancels: map[int]context.CancelFunc{},
	}
}

// Subscribe implements message.Subscriber. The channel is closed when ctx ends
// or after Close.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, &ClosedError{Topic: topic}
	}
	ctx, cancel := context.WithCancel(ctx)
	s.lastID++
	id := s.lastID
	s.cancels[id] = cancel
	r := newReader(s, topic)
	s.readers.Add(1)
	go func() {
		defer s.readers.Done()
		defer s.release(id)
		r.run(ctx)
	}()
	return r.output, nil
}

// release frees the resources of a subscription that has ended.
func (s *Subscriber) release(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[id]()
	delete(s.cancels, id)
}

// Close implements message.Subscriber. It returns when all subscriptions have
// ended.
func (s *Subscriber) Close() error {
	if s.beginClose() {
		s.readers.Wait()
		close(s.done)
	}
	<-s.done
	return nil
}

// beginClose cancels the subscriptions. It returns false when Close was
// called before.
func (s *Subscriber) beginClose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.closed = true
	for _, cancel := range s.cancels {
		cancel()
	}
	return true
}

// Done is closed when all subscriptions have ended after Close.
func (s *Subscriber) Done() <-chan struct{} { return s.done }
