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
	// readLimit is the maximum number of records of one read.
	readLimit = 500
	// verdictPoll is the long-poll time of a read that waits for a change to
	// appear in the log.
	verdictPoll = 200 * time.Millisecond
)

// Publisher appends the changes of operators to the configuration stream and determines
// their verdicts.
type Publisher struct {
	log      hosting.Log
	appender message.Publisher
	stream   string
}

// NewPublisher returns a publisher. appender must write to the log service that log
// reads from.
func NewPublisher(log hosting.Log, appender message.Publisher, stream string) *Publisher {
	return &Publisher{log: log, appender: appender, stream: stream}
}

// Read applies the stream up to its end and returns the state in force.
func (p *Publisher) Read(ctx context.Context) (plan.State, error) {
	follower := plan.NewFollower(plan.State{})
	for {
		batch, err := p.log.Read(ctx, p.stream, follower.NextOffset(), readLimit, 0)
		var trimmed *hosting.TrimmedError
		if errors.As(err, &trimmed) {
			follower = follower.WithTrimmed(trimmed.First)
			continue
		}
		if err != nil {
			return plan.State{}, err
		}
		for _, record := range batch.Records {
			follower, _ = follower.Apply(record)
		}
		if follower.NextOffset() >= batch.Next {
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

// Submit appends a change and returns its verdict, which is the same at every daemon.
// state is the state that the change is based on. A *hosting.UncertainError says that
// the change may still come into force; it is safe to submit it again with the same
// identity.
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
	return p.awaitVerdict(ctx, plan.NewChangeTracker(state, payload), appendErr)
}

// awaitVerdict reads until the change appears in the log. If its append was uncertain
// and the change is not in the log yet, awaitVerdict returns appendErr.
func (p *Publisher) awaitVerdict(ctx context.Context, tracker plan.ChangeTracker, appendErr error) (plan.Verdict, error) {
	for {
		batch, err := p.log.Read(ctx, p.stream, tracker.Follower().NextOffset(), readLimit, verdictPoll)
		if err != nil {
			return plan.Verdict{}, &hosting.UncertainError{Service: "the log service", Cause: err}
		}
		for _, record := range batch.Records {
			tracker = tracker.Apply(record)
		}
		if verdict, found := tracker.Verdict(); found {
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
