package answer

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options bounds a store.
type Options struct {
	// MaxAnswers bounds the number of answers.
	MaxAnswers int
	// MaxBytes bounds their size in all.
	MaxBytes int
	// Lifetime is how long an answer is kept.
	Lifetime time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{MaxAnswers: 10_000, MaxBytes: 8 << 20, Lifetime: 10 * time.Minute}
}

// Store is a bounded store of final answers by claim key, safe for use by
// several goroutines.
type Store struct {
	telemetry.Common
	options Options

	mu sync.Mutex
	// entries holds a value for every key with an open slot or an answer.
	entries map[claim.Key]*entry
	// finals holds the entries with an answer, the oldest first.
	finals *list.List
	// bytes is the size of all answers and at most MaxBytes.
	bytes int
}

// entry is what the store knows of one key.
type entry struct {
	key claim.Key
	// slots counts the requests that may still give an answer.
	slots int
	// answer is valid when element is not nil.
	answer  Answer
	expires time.Time
	// element is the entry's place in finals, or nil.
	element *list.Element
	// changed is closed and replaced when answer or slots changes.
	changed chan struct{}
}

// New returns an empty store.
func New(common telemetry.Common, options Options) *Store {
	return &Store{Common: common, options: options, entries: make(map[claim.Key]*entry), finals: list.New()}
}

// Slot announces an answer. It is ended once by Finish or Drop.
type Slot struct {
	store *Store
	key   claim.Key
	once  sync.Once
}

// Begin announces that an answer for the key may come.
func (s *Store) Begin(key claim.Key) *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		e = &entry{key: key, changed: make(chan struct{})}
		s.entries[key] = e
	}
	e.slots++
	return &Slot{store: s, key: key}
}

// Finish stores the answer and hands it to all who wait.
func (s *Slot) Finish(answer Answer) {
	s.once.Do(func() { s.store.end(s.key, &answer) })
}

// Drop says that no answer comes from this slot.
func (s *Slot) Drop() {
	s.once.Do(func() { s.store.end(s.key, nil) })
}

func (s *Store) end(key claim.Key, answer *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	e.slots--
	if answer != nil && answer.size() <= s.options.MaxBytes {
		s.removeAnswer(e)
		s.addAnswer(e, *answer)
	}
	s.signal(e)
	s.evict()
}

func (s *Store) addAnswer(e *entry, answer Answer) {
	e.answer = answer
	e.expires = s.Clock.Now().Add(s.options.Lifetime)
	e.element = s.finals.PushBack(e)
	s.bytes += answer.size()
}

func (s *Store) removeAnswer(e *entry) {
	if e.element == nil {
		return
	}
	s.finals.Remove(e.element)
	s.bytes -= e.answer.size()
	e.element = nil
	e.answer = Answer{}
}

// signal wakes all who wait for the entry, and forgets an empty one.
func (s *Store) signal(e *entry) {
	close(e.changed)
	e.changed = make(chan struct{})
	if e.slots == 0 && e.element == nil {
		delete(s.entries, e.key)
	}
}

// evict removes answers from the oldest on until the bounds hold.
func (s *Store) evict() {
	now := s.Clock.Now()
	for s.finals.Len() > 0 {
		e := s.finals.Front().Value.(*entry)
		within := s.finals.Len() <= s.options.MaxAnswers && s.bytes <= s.options.MaxBytes
		if within && now.Before(e.expires) {
			return
		}
		s.removeAnswer(e)
		s.signal(e)
		s.Count("AnswersEvicted", 1)
	}
}

// Forget removes the answer of a key.
func (s *Store) Forget(key claim.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil && e.element != nil {
		s.removeAnswer(e)
		s.signal(e)
	}
}

// Wait returns the answer of a key, and waits for one that is in progress.
// It returns a *NotFoundError when none is expected, and a *WaitError when
// ctx ends first.
func (s *Store) Wait(ctx context.Context, key claim.Key) (Answer, error) {
	for {
		answer, changed, err := s.look(key)
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

// look returns the answer, or a channel that is closed on the next change.
func (s *Store) look(key claim.Key) (Answer, <-chan struct{}, error) {
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

// Len returns the number of answers.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finals.Len()
}
