package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// logCut is the kind of partition between a daemon and the log.
type logCut int

const (
	// cutNone is no partition.
	cutNone logCut = iota
	// cutBoth drops requests and answers.
	cutBoth
	// cutAnswers delivers requests and drops their answers.
	cutAnswers
)

// nodeLog is one daemon's connection to the log.
type nodeLog struct {
	*fakeLog
	node *node

	mu  sync.Mutex
	cut logCut
	// answerLost is true after the first lost answer under cutAnswers: later
	// appends hang, since no connection gets an answer.
	answerLost bool
}

func (l *nodeLog) setCut(cut logCut) {
	l.update(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.cut, l.answerLost = cut, false
	})
}

// cutForAppend returns the cut that applies to an append, and whether an earlier
// append has already lost its answer under cutAnswers.
func (l *nodeLog) cutForAppend() (cut logCut, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut, lost = l.cut, l.answerLost
	l.answerLost = l.answerLost || cut == cutAnswers
	return cut, lost
}

// Append implements hosting.Log.
func (l *nodeLog) Append(ctx context.Context, name string, payloads [][]byte) (uint64, error) {
	l.node.cluster.runHookAt(l.node, stepOf(name))
	cut, lost := l.cutForAppend()
	switch {
	case cut == cutBoth:
		return 0, &hosting.UnavailableError{Service: "log"}
	case cut == cutAnswers && !lost:
		// The answer is lost, whether it is a success or an error.
		_, _ = l.fakeLog.Append(ctx, name, payloads)
		return 0, &hosting.UncertainError{Service: "log"}
	case cut == cutAnswers:
		l.signalHungAppend()
		l.awaitHeal(ctx)
		return 0, &hosting.UncertainError{Service: "log"}
	}
	return l.fakeLog.Append(ctx, name, payloads)
}

// awaitHeal waits until the daemon is no longer cut off from the log.
func (l *nodeLog) awaitHeal(ctx context.Context) {
	for {
		l.fakeLog.mu.Lock()
		changed := l.changed
		l.fakeLog.mu.Unlock()
		if !l.isCut() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Read implements hosting.Log.
func (l *nodeLog) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (hosting.Batch, error) {
	batch, err := l.fakeLog.Read(ctx, name, from, limit, wait)
	if l.isCut() {
		l.awaitHeal(ctx)
		return hosting.Batch{}, &hosting.UnavailableError{Service: "log"}
	}
	return batch, err
}

func (l *nodeLog) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut != cutNone
}

// stepOf returns the step at which daemons append to a stream.
func stepOf(name string) Step {
	switch name {
	case claimStream:
		return StepClaim
	case leaseStream:
		return StepLease
	}
	return StepSnapshot
}
