package gateway

import (
	"errors"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// maxMismatchedResponses bounds the responses to other requests that are skipped before that
// to the request.
const maxMismatchedResponses = 8

// receive makes an attempt until the head of the response to the request has arrived. A runner
// may write a response to an earlier request once more before it, which is skipped.
func (x *exchange) receive(a *attempt) (*upstream.Answer, error) {
	answer, err := x.send(a)
	if err != nil {
		return nil, err
	}
	err = x.checkAnswerHead(a, answer)
	for skipped := 0; a.mayAwaitNext(err) && skipped < maxMismatchedResponses; skipped++ {
		if failure := answer.Next(); failure != nil {
			answer.Close(false)
			return nil, x.readFailure(a, failure)
		}
		err = x.checkAnswerHead(a, answer)
	}
	if err != nil {
		x.discard(answer, err)
		return nil, err
	}
	return answer, nil
}

// mayAwaitNext reports whether a response names another request, and the one behind it is awaited.
// A replacement does not wait for that: the runner that it replaces may yet go on.
func (a *attempt) mayAwaitNext(err error) bool {
	var mismatched *MismatchedAnswerError
	return !a.isReplacement() && errors.As(err, &mismatched)
}

// checkAnswerHead checks the status and the header of a response. It returns nil
// if the response may be forwarded to the caller. Only a response that names the request
// says anything about it: others may be left over from an earlier request.
func (x *exchange) checkAnswerHead(a *attempt, answer *upstream.Answer) error {
	x.recordData(a, x.Clock.Now())
	head := x.Codec.DecodeAnswer(answer.Status, answer.Header)
	x.observeHead(a, answer, head)
	runner := a.choice.Runner
	switch a.head.owner {
	case ownerOther:
		return &upstream.InvalidAnswerError{
			Address: runner.Address, Cause: &MismatchedAnswerError{Want: x.call.ID, Got: head.ID},
		}
	case ownerNone:
		return &upstream.InvalidAnswerError{Address: runner.Address, Cause: &UnsignedError{Runner: runner.ID}}
	}
	a.headReceived = true
	x.applySignals(a, head)
	if head.NotRun && head.Signed {
		return &upstream.InvalidAnswerError{Address: runner.Address, Cause: &ContradictoryAnswerError{Runner: runner.ID, Status: answer.Status}}
	}
	if head.NotRun {
		return &RejectedError{Runner: runner.ID, Status: answer.Status, Replaced: head.Misdirected}
	}
	if !head.Signed {
		return &upstream.InvalidAnswerError{Address: runner.Address, Cause: &UnsignedError{Runner: runner.ID}}
	}
	if err := x.endHeadWait(a); err != nil {
		return err
	}
	x.countUsage()
	return nil
}
