package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/claimlog"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// claimer implements dispatch.Claimer with a claimlog.Claimer.
type claimer struct {
	claimer *claimlog.Claimer
	// timeout bounds one claim, so that a request gets its final answer long
	// before its deadline when the log service does not respond.
	timeout time.Duration
}

// Claim implements dispatch.Claimer.
func (c claimer) Claim(ctx context.Context, key claim.Key, fingerprint uint64) (dispatch.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result, err := c.claimer.Claim(ctx, key, fingerprint)
	var conflict *claimlog.FingerprintError
	if errors.As(err, &conflict) {
		return dispatch.ClaimResult{}, &dispatch.ConflictError{Key: key}
	}
	if err != nil {
		return dispatch.ClaimResult{}, err
	}
	return dispatch.ClaimResult{Won: result.Won, Claim: result.Claim, Winner: result.Winner}, nil
}

// Release implements dispatch.Claimer.
func (c claimer) Release(ctx context.Context, own claim.Claim) error {
	return c.claimer.Release(ctx, own)
}

// relayer implements dispatch.Relayer with calls over the mesh.
type relayer struct {
	mesh    *peer.Mesh
	timeout time.Duration
}

// Relay implements dispatch.Relayer. It repeats the call while the answer is
// pending, until the timeout.
func (r relayer) Relay(ctx context.Context, winner claim.Claim) (answer.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	for {
		reply, err := r.mesh.FetchAnswer(ctx, winner.Daemon, winner.Incarnation, string(winner.Key))
		if err != nil {
			return answer.Answer{}, err
		}
		switch reply.State {
		case peer.Final:
			return newAnswer(winner.Key, reply)
		case peer.NotFound:
			return answer.Answer{}, &AnswerLostError{Key: winner.Key, Daemon: winner.Daemon}
		}
		if ctx.Err() != nil {
			return answer.Answer{}, context.Cause(ctx)
		}
	}
}

func newAnswer(key claim.Key, reply peer.Answer) (answer.Answer, error) {
	outcome, err := parseOutcome(reply.Outcome)
	return answer.Answer{
		Key:     key,
		Outcome: outcome,
		Status:  reply.Status,
		Header:  request.Header(reply.Header),
		Body:    reply.Body,

		RetryAfter: reply.RetryAfter,
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
