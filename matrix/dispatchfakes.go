package matrix

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// nodeClaimer adapts the daemon's claimer to dispatch.Claimer.
type nodeClaimer struct{ node *node }

// Claim implements dispatch.Claimer.
func (c *nodeClaimer) Claim(ctx context.Context, key claim.Key, fingerprint uint64) (dispatch.ClaimResult, error) {
	result, err := c.node.claimer.Claim(ctx, key, fingerprint)
	if err != nil {
		return dispatch.ClaimResult{}, err
	}
	return dispatch.ClaimResult{Won: result.Won, Claim: result.Claim, Winner: result.Winner}, nil
}

// Release implements dispatch.Claimer.
func (c *nodeClaimer) Release(ctx context.Context, own claim.Claim) error {
	return c.node.claimer.Release(ctx, own)
}

// nodeRelayer waits for an answer in the answer store of the daemon that won the
// claim, if both daemons reach each other.
type nodeRelayer struct{ node *node }

// Relay implements dispatch.Relayer.
func (r *nodeRelayer) Relay(ctx context.Context, winner claim.Claim) (answer.Answer, error) {
	cluster := r.node.cluster
	other := cluster.node(winner.Daemon)
	if other == nil || other.isSilent() || !cluster.reaches(r.node, other) || !cluster.reaches(other, r.node) {
		return answer.Answer{}, &UnreachableError{From: r.node.name, To: winner.Daemon}
	}
	return other.answers.Wait(ctx, winner.Key)
}

// nodeChooser chooses the first usable backend server of the roster. It tries the
// daemon's own zone before the others.
type nodeChooser struct{ node *node }

// Choose implements dispatch.Chooser.
func (c *nodeChooser) Choose(r request.Request, excluded []string, now time.Time) (dispatch.Target, error) {
	c.node.cluster.runHookAt(c.node, StepChoose)
	if c.node.isDead() {
		return dispatch.Target{}, &dispatch.NoBackendError{Target: r.Target(), Reason: "the daemon is dead"}
	}
	for _, candidate := range c.node.cluster.runnersFrom(c.node.zone) {
		if c.node.isUsable(candidate.name, now) && !slices.Contains(excluded, candidate.name) {
			return candidate.target(), nil
		}
	}
	return dispatch.Target{}, &dispatch.NoBackendError{Target: r.Target(), Reason: "no backend server is usable"}
}

func (n *node) isUsable(vm string, now time.Time) bool {
	member := n.member(vm)
	switch member.State {
	case roster.Serving:
		return true
	case roster.Suspected:
		return !now.Before(member.ProbeAt)
	case roster.Leaving:
		return n.cluster.options.ignoresLeaving
	}
	return false
}

// AttemptStarted implements dispatch.Chooser.
func (c *nodeChooser) AttemptStarted(dispatch.Target, request.Request) {}

// AttemptEnded implements dispatch.Chooser.
func (c *nodeChooser) AttemptEnded(target dispatch.Target, _ request.Request, seen dispatch.Observation) {
	switch seen.Fault {
	case "":
		c.node.apply(roster.Succeeded{VM: target.Name})
	case backend.Cancelled:
	default:
		c.node.apply(roster.Failed{VM: target.Name})
	}
}
