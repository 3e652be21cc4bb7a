package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/ledger"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// claimer implements dispatch.Claimer on the ledger.
type claimer struct {
	ledger *ledger.Ledger
	// timeout bounds one claim, so that a log service that does not answer
	// leads to a final answer long before the request's deadline.
	timeout time.Duration
}

// Claim implements dispatch.Claimer.
func (c claimer) Claim(ctx context.Context, key claim.Key, fingerprint uint64) (dispatch.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	verdict, err := c.ledger.Claim(ctx, key, fingerprint)
	var conflict *ledger.FingerprintError
	if errors.As(err, &conflict) {
		return dispatch.Verdict{}, &dispatch.ConflictError{Key: key}
	}
	if err != nil {
		return dispatch.Verdict{}, err
	}
	return dispatch.Verdict{Won: verdict.Won, Claim: verdict.Claim, Winner: verdict.Winner}, nil
}

// Release implements dispatch.Claimer.
func (c claimer) Release(ctx context.Context, own claim.Claim) error {
	return c.ledger.Release(ctx, own)
}

// relayer implements dispatch.Relayer on the mesh.
type relayer struct {
	mesh    *peer.Mesh
	timeout time.Duration
}

// Relay implements dispatch.Relayer. It asks again while the answer is in
// progress, until the time for relays is over.
func (r relayer) Relay(ctx context.Context, winner claim.Claim) (answer.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	for {
		given, err := r.mesh.Answer(ctx, winner.Daemon, winner.Incarnation, string(winner.Key))
		if err != nil {
			return answer.Answer{}, err
		}
		switch given.State {
		case peer.Final:
			return newAnswer(winner.Key, given)
		case peer.NotFound:
			return answer.Answer{}, &AnswerLostError{Key: winner.Key, Daemon: winner.Daemon}
		}
		if ctx.Err() != nil {
			return answer.Answer{}, ctx.Err()
		}
	}
}

func newAnswer(key claim.Key, given peer.Answer) (answer.Answer, error) {
	outcome, err := parseOutcome(given.Outcome)
	return answer.Answer{
		Key:     key,
		Outcome: outcome,
		Status:  given.Status,
		Header:  request.Header(given.Header),
		Body:    given.Body,

		RetryAfter: given.RetryAfter,
	}, err
}

func parseOutcome(text string) (request.Outcome, error) {
	for _, outcome := range []request.Outcome{request.Answered, request.NotRun, request.Unknown} {
		if outcome.String() == text {
			return outcome, nil
		}
	}
	return request.Unknown, &OutcomeError{Text: text}
}
