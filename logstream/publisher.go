package logstream

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Publisher appends messages to the log. It does not retry: only the caller knows
// whether its messages may be repeated after a *hosting.UncertainError.
type Publisher struct {
	telemetry.Common
	log     hosting.Log
	timeout time.Duration
	closed  atomic.Bool
}

var _ message.Publisher = (*Publisher)(nil)

// NewPublisher returns a publisher whose appends take at most timeout; 0 sets no
// limit.
func NewPublisher(common telemetry.Common, log hosting.Log, timeout time.Duration) *Publisher {
	return &Publisher{Common: common, log: log, timeout: timeout}
}

// Publish implements message.Publisher. All messages go into one append, which
// uses the context of the first message. Each message gets its offset as
// metadata.
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	if p.closed.Load() {
		return &ClosedError{Topic: topic}
	}
	if len(messages) == 0 {
		return nil
	}
	payloads := make([][]byte, 0, len(messages))
	for _, m := range messages {
		payloads = append(payloads, m.Payload)
	}
	first, err := p.append(messages[0].Context(), topic, payloads)
	if err != nil {
		p.Count(CounterAppendsFailed, 1)
		return err
	}
	p.Count(CounterAppends, 1)
	for i, m := range messages {
		m.Metadata.Set(MetadataOffset, strconv.FormatUint(first+uint64(i), 10))
	}
	return nil
}

func (p *Publisher) append(ctx context.Context, topic string, payloads [][]byte) (uint64, error) {
	ctx, cancel := withTimeout(ctx, p.Clock, p.timeout)
	defer cancel()
	return p.log.Append(ctx, topic, payloads)
}

// Close implements message.Publisher. It does not interrupt appends in progress.
func (p *Publisher) Close() error {
	p.closed.Store(true)
	return nil
}
