package logstream_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/logstream"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

const topic = "Plans"

// options returns options without a timeout, so that backoffs are the only timers.
func options() logstream.Options {
	o := logstream.DefaultOptions()
	o.Timeout = 0
	return o
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// errHang makes a read block until its context ends.
var errHang = errors.New("hang")

// fakeLog is an in-memory log with one stream. The first reads fail with the errors
// in failures.
type fakeLog struct {
	mu       sync.Mutex
	first    uint64
	payloads []string
	failures []error
	appended chan struct{}
}

func newFakeLog(payloads ...string) *fakeLog {
	return &fakeLog{payloads: payloads, appended: make(chan struct{}, 100)}
}

func (f *fakeLog) Append(_ context.Context, _ string, payloads [][]byte) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	offset := f.first + uint64(len(f.payloads))
	for _, payload := range payloads {
		f.payloads = append(f.payloads, string(payload))
	}
	f.appended <- struct{}{}
	return offset, nil
}

// Read blocks until the next append if wait is not 0, without a time limit.
func (f *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (hosting.Batch, error) {
	batch, err := f.batch(from, limit)
	if errors.Is(err, errHang) {
		<-ctx.Done()
		return hosting.Batch{}, &hosting.UnavailableError{Service: "log", Cause: context.Cause(ctx)}
	}
	if err != nil || len(batch.Records) > 0 || wait == 0 {
		return batch, err
	}
	select {
	case <-f.appended:
		return f.batch(from, limit)
	case <-ctx.Done():
		return hosting.Batch{}, &hosting.UnavailableError{Service: "log", Cause: ctx.Err()}
	}
}

func (f *fakeLog) batch(from uint64, limit int) (hosting.Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failures) > 0 {
		failure := f.failures[0]
		f.failures = f.failures[1:]
		return hosting.Batch{}, failure
	}
	if from < f.first {
		return hosting.Batch{}, &hosting.TrimmedError{Stream: topic, From: from, First: f.first}
	}
	batch := hosting.Batch{First: f.first, Next: f.first + uint64(len(f.payloads))}
	for offset := from; offset < batch.Next && len(batch.Records) < limit; offset++ {
		payload := []byte(f.payloads[offset-f.first])
		batch.Records = append(batch.Records, hosting.Record{Offset: offset, Payload: payload, Time: start})
	}
	return batch, nil
}

// driver runs a subscription against a fake log.
type driver struct {
	*qt.C
	clock      *clockwork.FakeClock
	common     telemetry.Common
	subscriber *logstream.Subscriber
	messages   <-chan *message.Message
}

func newDriver(t *testing.T, log hosting.Log, options logstream.Options) *driver {
	d := &driver{C: qt.New(t), clock: clock.NewFake(start), common: telemetry.NewCommon()}
	d.common.Clock = d.clock
	d.subscriber = logstream.NewSubscriber(d.common, log, options)
	messages, err := d.subscriber.Subscribe(context.Background(), topic)
	d.Assert(err, qt.IsNil)
	d.messages = messages
	d.Cleanup(func() { d.Check(d.subscriber.Close(), qt.IsNil) })
	return d
}

// expect receives and acknowledges messages with these payloads.
func (d *driver) expect(payloads ...string) {
	for _, payload := range payloads {
		m := <-d.messages
		d.Assert(string(m.Payload), qt.Equals, payload)
		m.Ack()
	}
}

// passBackoff advances the clock past one backoff.
func (d *driver) passBackoff() {
	d.Assert(d.clock.BlockUntilContext(context.Background(), 1), qt.IsNil)
	d.clock.Advance(2 * options().MaxBackoff)
}
