package claimlog_test

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// effect is what happens to one append.
type effect int

const (
	works effect = iota
	refuses
	throttles
	losesRequest
	losesResponse
	// hangs appends the record but sends no response until the caller gives up.
	hangs
)

// fakeLog is a log of one stream whose faults are set by the tests.
type fakeLog struct {
	clock clock.Clock

	mu      sync.Mutex
	records []hosting.Record
	first   uint64
	// appends holds the effects of the next appends; once it is empty,
	// defaultEffect applies.
	appends       []effect
	defaultEffect effect
	// readsBlocked leaves reads without a response.
	readsBlocked bool
	// changed is closed and replaced on every change.
	changed chan struct{}
	// attempts gets a value for every append, after its effect.
	attempts chan effect
}

func newFakeLog(c clock.Clock) *fakeLog {
	return &fakeLog{clock: c, changed: make(chan struct{}), attempts: make(chan effect, 1000)}
}

// update changes the log under its lock and wakes the waiting reads.
func (f *fakeLog) update(change func(*fakeLog)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeLog) add(payload []byte) {
	offset := f.first + uint64(len(f.records))
	f.records = append(f.records, hosting.Record{Offset: offset, Payload: payload, Time: f.clock.Now()})
}

// Append implements hosting.Log.
func (f *fakeLog) Append(ctx context.Context, _ string, payloads [][]byte) (offset uint64, err error) {
	current := works
	f.update(func(f *fakeLog) {
		current = f.defaultEffect
		if len(f.appends) > 0 {
			current, f.appends = f.appends[0], f.appends[1:]
		}
		offset = f.first + uint64(len(f.records))
		if current == works || current == losesResponse || current == hangs {
			for _, payload := range payloads {
				f.add(payload)
			}
		}
		err = map[effect]error{
			refuses:       &hosting.UnavailableError{Service: "log"},
			throttles:     &hosting.ThrottledError{Service: "log"},
			losesRequest:  &hosting.UncertainError{Service: "log"},
			losesResponse: &hosting.UncertainError{Service: "log"},
			hangs:         &hosting.UncertainError{Service: "log"},
		}[current]
		f.attempts <- current
	})
	if current == hangs {
		<-ctx.Done()
	}
	return offset, err
}

// Read implements hosting.Log. It waits for a change of the log and ignores the
// length of wait.
func (f *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (hosting.Batch, error) {
	for {
		f.mu.Lock()
		isBlocked := f.readsBlocked
		batch, changed, err := f.read(from, limit)
		f.mu.Unlock()
		if err != nil || len(batch.Records) > 0 || (wait == 0 && !isBlocked) {
			return batch, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return hosting.Batch{}, &hosting.UnavailableError{Service: "log", Cause: ctx.Err()}
		}
	}
}

func (f *fakeLog) read(from uint64, limit int) (hosting.Batch, chan struct{}, error) {
	if f.readsBlocked {
		return hosting.Batch{}, f.changed, nil
	}
	if from < f.first {
		return hosting.Batch{}, nil, &hosting.TrimmedError{Stream: "Claims", From: from, First: f.first}
	}
	next := f.first + uint64(len(f.records))
	batch := hosting.Batch{First: f.first, Next: next}
	if from < next {
		batch.Records = f.records[from-f.first:]
		batch.Records = batch.Records[:min(limit, len(batch.Records))]
	}
	return batch, f.changed, nil
}
