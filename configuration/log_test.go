package configuration_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// appendFault says what happens to an append.
type appendFault int

const (
	none appendFault = iota
	// refused appends have no effect, and the caller gets an error that says so.
	refused
	// lostBefore appends have no effect, and the caller gets no response.
	lostBefore
	// lostAfter appends take effect, and the caller gets no response.
	lostAfter
)

// fakeLog is a log with one stream in memory.
type fakeLog struct {
	mu      sync.Mutex
	records []hosting.Record
	first   uint64
	fault   appendFault
	down    bool
	// reads counts the calls of Read.
	reads int
}

func (l *fakeLog) Append(_ context.Context, _ string, payloads [][]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.fault {
	case refused:
		return 0, &hosting.UnavailableError{Service: "Log"}
	case lostBefore:
		return 0, &hosting.UncertainError{Service: "Log"}
	}
	offset := l.first + uint64(len(l.records))
	for i, payload := range payloads {
		l.records = append(l.records, hosting.Record{Offset: offset + uint64(i), Payload: payload})
	}
	if l.fault == lostAfter {
		return 0, &hosting.UncertainError{Service: "Log"}
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (hosting.Batch, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	batch, err := l.read(from, limit)
	if err == nil && len(batch.Records) == 0 && wait > 0 {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
		}
		return l.read(from, limit)
	}
	return batch, err
}

func (l *fakeLog) read(from uint64, limit int) (hosting.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return hosting.Batch{}, &hosting.UnavailableError{Service: "Log"}
	}
	if from < l.first {
		return hosting.Batch{}, &hosting.TrimmedError{Stream: "Configuration", From: from, First: l.first}
	}
	batch := hosting.Batch{First: l.first, Next: l.first + uint64(len(l.records))}
	if from < batch.Next {
		rest := l.records[from-l.first:]
		batch.Records = slices.Clone(rest[:min(limit, len(rest))])
	}
	return batch, nil
}

func (l *fakeLog) set(fault appendFault, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.down = fault, down
}

// awaitReads waits for count further calls of Read. A reader that calls Read again has
// processed the results of its earlier calls.
func (l *fakeLog) awaitReads(count int) {
	l.mu.Lock()
	wanted := l.reads + count
	l.mu.Unlock()
	for {
		l.mu.Lock()
		reads := l.reads
		l.mu.Unlock()
		if reads >= wanted {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// trim removes the records below first.
func (l *fakeLog) trim(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[first-l.first:]
	l.first = first
}
