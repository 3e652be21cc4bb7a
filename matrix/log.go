package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// logFault is a fault of the log service.
type logFault int

const (
	// logWorks lets operations through.
	logWorks logFault = iota
	// logRefuses fails operations without effect.
	logRefuses
	// logHangs blocks operations until the fault changes. An operation that times
	// out while it is blocked has no effect.
	logHangs
	// logHangsThenApplies is like logHangs, but appends that time out take effect.
	logHangsThenApplies
	// logLosesAnswer applies an append and loses its answer.
	logLosesAnswer
	// logLosesRequest drops an append and reports its effect as uncertain.
	logLosesRequest
)

// fakeLog is an in-memory log service with faults.
type fakeLog struct {
	clock clock.Clock

	mu      sync.Mutex
	streams map[string]*stream
	fault   logFault
	// queuedFaults holds one fault for each of the next appends. They apply only
	// while fault is logWorks.
	queuedFaults []logFault
	// changed is closed and replaced on every change.
	changed chan struct{}
	// hungAppends receives a value when an append starts to hang.
	hungAppends chan struct{}
}

// stream is one stream of the log; first is the offset of records[0].
type stream struct {
	first   uint64
	records []hosting.Record
}

func newFakeLog(c clock.Clock) *fakeLog {
	return &fakeLog{
		clock: c, streams: make(map[string]*stream),
		changed: make(chan struct{}), hungAppends: make(chan struct{}, 64),
	}
}

// update applies a change under the lock and wakes all waiting operations.
func (f *fakeLog) update(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	close(f.changed)
	f.changed = make(chan struct{})
}

// setFault sets the fault of all operations from now on.
func (f *fakeLog) setFault(fault logFault) { f.update(func() { f.fault = fault }) }

// queueFaults sets a fault for each of the next appends.
func (f *fakeLog) queueFaults(faults ...logFault) {
	f.update(func() { f.queuedFaults = append(f.queuedFaults, faults...) })
}

// trim removes the records below an offset.
func (f *fakeLog) trim(name string, first uint64) {
	f.update(func() {
		s := f.stream(name)
		s.records = s.records[first-s.first:]
		s.first = first
	})
}

// stream returns a stream and creates it if needed. The caller holds mu.
func (f *fakeLog) stream(name string) *stream {
	s := f.streams[name]
	if s == nil {
		s = &stream{}
		f.streams[name] = s
	}
	return s
}

// Append implements hosting.Log.
func (f *fakeLog) Append(ctx context.Context, name string, payloads [][]byte) (uint64, error) {
	fault, err := f.admit(ctx, true)
	if err != nil {
		return 0, err
	}
	var offset uint64
	f.update(func() {
		s := f.stream(name)
		offset = s.first + uint64(len(s.records))
		if fault == logLosesRequest {
			return
		}
		for i, payload := range payloads {
			s.records = append(s.records, hosting.Record{
				Offset: offset + uint64(i), Payload: payload, Time: f.clock.Now(),
			})
		}
	})
	if fault != logWorks {
		return 0, &hosting.UncertainError{Service: "log"}
	}
	return offset, nil
}

// admit blocks while the log hangs, and returns the fault of this operation.
func (f *fakeLog) admit(ctx context.Context, isAppend bool) (logFault, error) {
	for {
		f.mu.Lock()
		fault, changed := f.fault, f.changed
		if isAppend && fault == logWorks && len(f.queuedFaults) > 0 {
			fault, f.queuedFaults = f.queuedFaults[0], f.queuedFaults[1:]
		}
		f.mu.Unlock()
		if !isAppend && fault >= logLosesAnswer {
			fault = logWorks
		}
		switch fault {
		case logRefuses:
			return fault, &hosting.UnavailableError{Service: "log"}
		case logHangs, logHangsThenApplies:
			f.signalHungAppend()
		default:
			return fault, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if isAppend && fault == logHangsThenApplies {
				return logLosesAnswer, nil
			}
			return fault, &hosting.UncertainError{Service: "log", Cause: ctx.Err()}
		}
	}
}

// signalHungAppend signals to the case that an append hangs.
func (f *fakeLog) signalHungAppend() {
	select {
	case f.hungAppends <- struct{}{}:
	default:
	}
}

// Read implements hosting.Log. During an outage, a read with a wait blocks until the
// next change instead of failing at once, so that readers do not spin.
func (f *fakeLog) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (hosting.Batch, error) {
	timer := f.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		batch, err := f.read(name, from, limit)
		fault, changed := f.fault, f.changed
		f.mu.Unlock()
		down := fault == logRefuses || fault == logHangs || fault == logHangsThenApplies
		if down && wait == 0 && fault == logRefuses {
			return hosting.Batch{}, &hosting.UnavailableError{Service: "log"}
		}
		if !down && (err != nil || len(batch.Records) > 0 || wait == 0) {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.Chan():
			if !down {
				return batch, err
			}
		case <-ctx.Done():
			return hosting.Batch{}, &hosting.UnavailableError{Service: "log", Cause: ctx.Err()}
		}
	}
}

// read returns the records from an offset. The caller holds mu.
func (f *fakeLog) read(name string, from uint64, limit int) (hosting.Batch, error) {
	s := f.stream(name)
	if from < s.first {
		return hosting.Batch{}, &hosting.TrimmedError{Stream: name, From: from, First: s.first}
	}
	next := s.first + uint64(len(s.records))
	batch := hosting.Batch{First: s.first, Next: next}
	if from < next {
		rest := s.records[from-s.first:]
		batch.Records = append(batch.Records, rest[:min(limit, len(rest))]...)
	}
	return batch, nil
}
