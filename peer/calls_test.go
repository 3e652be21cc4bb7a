package peer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStoppingDaemonSendsItsLastAnswers guards against a stop that cuts off the call of a
// peer whose request waits for an answer of this daemon.
func TestStoppingDaemonSendsItsLastAnswers(t *testing.T) {
	c, fake := qt.New(t), newFakeClock()
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	b := startDaemon(c, fake, "B", "1", "127.0.0.1:0")
	setVMs(a, b)
	b.handler.answers["K"] = Answer{State: Final, Outcome: "Answered", Status: 200}
	b.handler.answering, b.handler.release = make(chan struct{}), make(chan struct{})
	type result struct {
		answer Answer
		err    error
	}
	results := make(chan result, 1)
	go func() {
		answer, err := a.FetchAnswer(context.Background(), "B", "1", "K")
		results <- result{answer, err}
	}()
	<-b.handler.answering
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		b.kill()
	}()
	// On a daemon that cuts off calls, the call ends in this time.
	time.Sleep(50 * time.Millisecond)
	close(b.handler.release)
	got := <-results
	c.Assert(got.err, qt.IsNil)
	c.Check(got.answer.Status, qt.Equals, 200)
	<-stopped
}
