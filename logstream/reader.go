package logstream

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// reader is one subscription. It runs on one goroutine.
type reader struct {
	telemetry.Common
	log     hosting.Log
	options Options
	topic   string
	// next is the offset of the next record to deliver. All earlier records are
	// acknowledged.
	next uint64
	// caughtUp is true when the last read reached the end of the log. Only then does
	// the next read wait for new records.
	caughtUp bool
	// failing is true from a failed read until the next successful one.
	failing bool
	backoff *backoff.ExponentialBackOff
	output  chan *message.Message
}

func newReader(s *Subscriber, topic string) *reader {
	r := &reader{
		Common:  s.Common,
		log:     s.log,
		options: s.options,
		topic:   topic,
		backoff: newBackoff(s.options),
		output:  make(chan *message.Message),
	}
	if s.options.StartOffset != nil {
		r.next = s.options.StartOffset(topic)
	}
	return r
}

func newBackoff(options Options) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = options.MinBackoff
	b.MaxInterval = options.MaxBackoff
	b.Multiplier = 2
	b.Reset()
	return b
}

// run reads and delivers until ctx ends. It closes output.
func (r *reader) run(ctx context.Context) {
	defer close(r.output)
	for ctx.Err() == nil {
		if err := r.step(ctx); err != nil {
			r.backOff(ctx, err)
		}
	}
}

// step reads and delivers one batch, or skips trimmed records.
func (r *reader) step(ctx context.Context) error {
	batch, err := r.read(ctx)
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		return r.skipTrimmed(ctx, trimmed)
	}
	if err != nil {
		return err
	}
	r.readSucceeded()
	r.deliver(ctx, batch)
	return nil
}

// read returns the next batch. It does not wait while there is a backlog.
func (r *reader) read(ctx context.Context) (hosting.Batch, error) {
	wait := time.Duration(0)
	if r.caughtUp {
		wait = r.options.Wait
	}
	timeout := r.options.Timeout
	if timeout > 0 {
		timeout += wait
	}
	ctx, cancel := withTimeout(ctx, r.Clock, timeout)
	defer cancel()
	r.Count(CounterReads, 1)
	return r.log.Read(ctx, r.topic, r.next, r.options.ReadLimit, wait)
}

// skipTrimmed continues after the records that retention has removed.
func (r *reader) skipTrimmed(ctx context.Context, trimmed *hosting.TrimmedError) error {
	r.Count(CounterTrimmed, 1)
	r.Log.Info("retention removed records before they were read", "Topic", r.topic, "From", trimmed.From, "First", trimmed.First)
	next := trimmed.First
	if r.options.OnTrimmed != nil {
		restored, err := r.options.OnTrimmed(ctx, trimmed)
		if err != nil {
			return errors.Wrap(err, "restore after records were trimmed")
		}
		next = restored
	}
	if next < trimmed.First {
		return &hosting.TrimmedError{Stream: r.topic, From: next, First: trimmed.First}
	}
	r.next = next
	r.caughtUp = false
	return nil
}

// backOff waits before the next read. It logs the first failure of a series only.
func (r *reader) backOff(ctx context.Context, cause error) {
	if ctx.Err() != nil {
		return
	}
	r.Count(CounterReadsFailed, 1)
	if !r.failing {
		r.failing = true
		r.Log.Error(cause, "reading from the log failed; retrying with backoff", "Topic", r.topic, "Next", r.next)
	}
	r.caughtUp = false
	// Sleep fails only when ctx has ended, which the caller checks.
	_ = clock.Sleep(ctx, r.Clock, r.backoff.NextBackOff())
}

func (r *reader) readSucceeded() {
	if r.failing {
		r.failing = false
		r.Log.Info("reading from the log recovered", "Topic", r.topic, "Next", r.next)
	}
	r.backoff.Reset()
}

// deliver sends the records of a batch and calls OnCaughtUp at the end of the log.
func (r *reader) deliver(ctx context.Context, batch hosting.Batch) {
	for _, record := range batch.Records {
		if record.Offset < r.next {
			continue
		}
		if !r.deliverUntilAcked(ctx, record) {
			return
		}
		r.next = record.Offset + 1
	}
	if batch.Next < r.next {
		// The log has lost its tail. New records reuse offsets that were already
		// delivered, so they are skipped until the log reaches next again.
		r.Count(CounterLogShrunk, 1)
	}
	r.caughtUp = r.next >= batch.Next
	if r.caughtUp && r.options.OnCaughtUp != nil {
		r.options.OnCaughtUp(r.topic, r.next)
	}
}

// deliverUntilAcked sends a record until it is acknowledged. It returns false if ctx
// ends first.
func (r *reader) deliverUntilAcked(ctx context.Context, record hosting.Record) bool {
	for {
		acknowledged, ended := r.send(ctx, newMessage(r.topic, record))
		if ended {
			return false
		}
		if acknowledged {
			r.Count(CounterRecords, 1)
			return true
		}
		r.Count(CounterRedeliveries, 1)
		_ = clock.Sleep(ctx, r.Clock, r.options.MinBackoff)
	}
}

// send delivers one message and waits until it is acked or nacked.
func (r *reader) send(ctx context.Context, m *message.Message) (acknowledged, ended bool) {
	messageCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.SetContext(messageCtx)
	select {
	case r.output <- m:
	case <-ctx.Done():
		return false, true
	}
	select {
	case <-m.Acked():
		return true, false
	case <-m.Nacked():
		return false, false
	case <-ctx.Done():
		return false, true
	}
}
