package answer

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options sets the limits of a store.
type Options struct {
	// MaxAnswers limits the number of answers.
	MaxAnswers int
	// MaxBytes limits the total size of the answers.
	MaxBytes int
	// Lifetime is how long an answer is stored.
	Lifetime time.Duration
}

// DefaultOptions returns the default limits.
func DefaultOptions() Options {
	return Options{MaxAnswers: 10_000, MaxBytes: 8 << 20, Lifetime: 10 * time.Minute}
}

// Store is a bounded store of final answers, indexed by claim key. It is safe for
// concurrent use.
type Store struct {
	telemetry.Common
	options Options

	mu sync.Mutex
	// entries holds every key that has a pending or a stored answer.
	entries map[claim.Key]*entry
	// completed holds the entries with a stored answer, oldest first.
	completed *list.List
	// bytes is the total size of the stored answers, at most MaxBytes.
	bytes int
}

// entry is the state of one key.
type entry struct {
	key claim.Key
	// pending counts the requests that may still produce an answer.
	pending int
	// answer is valid when element is not nil.
	answer  Answer
	expires time.Time
	// element is the entry's position in completed, or nil.
	element *list.Element
	// changed is closed and replaced when answer or pending changes.
	changed chan struct{}
}

// New returns an empty store.
func New(common telemetry.Common, options Options) *Store {
	return &Store{Common: common, options: options, entries: make(map[claim.Key]*entry), completed: list.New()}
}

// PendingAnswer is an answer that a request may produce. Only the first call of
// Finish or Abandon has an effect.
type PendingAnswer struct {
	store *Store
	key   claim.Key
	once  sync.Once
}

// Begin registers a pending answer for the key.
func (s *Store) Begin(key claim.Key) *PendingAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		e = &entry{key: key, changed: make(chan struct{})}
		s.entries[key] = e
	}
	e.pending++
	return &PendingAnswer{store: s, key: key}
}

// Finish stores the answer and delivers it to all waiters.
func (p *PendingAnswer) Finish(answer Answer) {
	p.once.Do(func() { p.store.finish(p.key, &answer) })
}

// Abandon ends the pending answer without a value.
func (p *PendingAnswer) Abandon() {
	p.once.Do(func() { p.store.finish(p.key, nil) })
}

func (s *Store) finish(key claim.Key, answer *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	e.pending--
	if answer != nil && answer.size() <= s.options.MaxBytes {
		s.removeAnswer(e)
		s.addAnswer(e, *answer)
	}
	s.notify(e)
	s.evict()
}

func (s *Store) addAnswer(e *entry, answer Answer) {
	e.answer = answer
	e.expires = s.Clock.Now().Add(s.options.Lifetime)
	e.element = s.completed.PushBack(e)
	s.bytes += answer.size()
}

func (s *Store) removeAnswer(e *entry) {
	if e.element == nil {
		return
	}
	s.completed.Remove(e.element)
	s.bytes -= e.answer.size()
	e.element = nil
	e.answer = Answer{}
}

// notify wakes all waiters of the entry, and removes the entry if it is empty.
func (s *Store) notify(e *entry) {
	close(e.changed)
	e.changed = make(chan struct{})
	if e.pending == 0 && e.element == nil {
		delete(s.entries, e.key)
	}
}

// evict removes expired answers, and the oldest ones until the limits hold.
func (s *Store) evict() {
	now := s.Clock.Now()
	for s.completed.Len() > 0 {
		e := s.completed.Front().Value.(*entry)
		within := s.completed.Len() <= s.options.MaxAnswers && s.bytes <= s.options.MaxBytes
		if within && now.Before(e.expires) {
			return
		}
		s.removeAnswer(e)
		s.notify(e)
		s.Count("AnswersEvicted", 1)
	}
}

// Remove removes the stored answer of a key.
func (s *Store) Remove(key claim.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil && e.element != nil {
		s.removeAnswer(e)
		s.notify(e)
	}
}

// Wait returns the answer of a key, after waiting for it if it is pending. It
// returns a *NotFoundError when none is stored or pending, and a *WaitError when
// ctx ends first.
func (s *Store) Wait(ctx context.Context, key claim.Key) (Answer, error) {
	for {
		answer, changed, err := s.lookup(key)
		if err != nil || changed == nil {
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Answer{}, &WaitError{Key: key, Cause: context.Cause(ctx)}
		}
	}
}

// lookup returns the answer, or a channel that is closed on the next change.
func (s *Store) lookup(key claim.Key) (Answer, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	e := s.entries[key]
	if e == nil {
		return Answer{}, nil, &NotFoundError{Key: key}
	}
	if e.element != nil {
		return e.answer, nil, nil
	}
	return Answer{}, e.changed, nil
}

// Len returns the number of stored answers.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed.Len()
}
