package configuration

import (
	"context"
	"errors"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

const (
	// readLimit is the most records of one read.
	readLimit = 500
	// verdictPoll is the time between two looks for a change that has not
	// shown up in the log.
	verdictPoll = 200 * time.Millisecond
)

// Publisher appends the changes of operators to the configuration stream and
// finds out what became of them.
type Publisher struct {
	log      hosting.Log
	appender message.Publisher
	stream   string
}

// NewPublisher returns a publisher. The appender writes to the same log
// service that log reads.
func NewPublisher(log hosting.Log, appender message.Publisher, stream string) *Publisher {
	return &Publisher{log: log, appender: appender, stream: stream}
}

// Read folds the stream up to its end and returns the state in force.
func (p *Publisher) Read(ctx context.Context) (plan.State, error) {
	follower := plan.NewFollower(plan.State{})
	for {
		batch, err := p.log.Read(ctx, p.stream, follower.From(), readLimit, 0)
		var trimmed *hosting.TrimmedError
		if errors.As(err, &trimmed) {
			follower = follower.WithTrimmed(trimmed.First)
			continue
		}
		if err != nil {
			return plan.State{}, err
		}
		for _, record := range batch.Records {
			follower, _ = follower.Fold(record)
		}
		if follower.From() >= batch.Next {
			return follower.State(), checkGap(follower)
		}
	}
}

func checkGap(follower plan.Follower) error {
	if follower.HasGap() {
		return &GapError{Needed: follower.State().Offset()}
	}
	return nil
}

// Submit appends a change and returns its verdict, which every daemon shares.
// The state is the one that the change was made for. A *hosting.UncertainError
// says that the change may still come into force; submitting it again with
// the same identity does no harm.
func (p *Publisher) Submit(ctx context.Context, state plan.State, change plan.Change) (plan.Verdict, error) {
	payload, err := change.Encode()
	if err != nil {
		return plan.Verdict{}, err
	}
	record := message.NewMessage(watermill.NewUUID(), payload)
	appendErr := p.appender.Publish(p.stream, record)
	if appendErr != nil && !isUncertain(appendErr) {
		return plan.Verdict{}, appendErr
	}
	return p.awaitVerdict(ctx, plan.NewInquiry(state, payload), appendErr)
}

// awaitVerdict reads on until the change shows up. A change whose append was
// uncertain and that is not in the log yet is reported as uncertain.
func (p *Publisher) awaitVerdict(ctx context.Context, inquiry plan.Inquiry, appendErr error) (plan.Verdict, error) {
	for {
		batch, err := p.log.Read(ctx, p.stream, inquiry.Follower().From(), readLimit, verdictPoll)
		if err != nil {
			return plan.Verdict{}, &hosting.UncertainError{Service: "the log service", Cause: err}
		}
		for _, record := range batch.Records {
			inquiry = inquiry.Fold(record)
		}
		if verdict, found := inquiry.Verdict(); found {
			return verdict, nil
		}
		if appendErr != nil && len(batch.Records) == 0 {
			return plan.Verdict{}, appendErr
		}
	}
}

func isUncertain(err error) bool {
	var uncertain *hosting.UncertainError
	return errors.As(err, &uncertain)
}
