package dispatch_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// Both requests are suspects after the crash of runner-1. If both were retried on
// runner-2, a second crash caused by one of them would get both rejected.
func TestSuspectedRequestsUseDifferentBackends(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "closed"}, behaviour{fault: "slow"}, behaviour{})
	first := chat(b.clock.Now())
	first.ID = "first"
	second := first.WithBody([]byte(strings.Replace(string(first.Body), "hello", "other", 1)))
	second.ID = "second"
	ended := make(chan dispatch.Result, 1)
	go func() { ended <- b.Do(context.Background(), first, &fakeWriter{}) }()
	<-b.backends[1].hung

	result := b.Do(context.Background(), second, &fakeWriter{})

	c.Assert(result.Outcome, qt.Equals, request.Answered)
	c.Assert(result.Backend, qt.Equals, "runner-3")
	close(b.backends[1].release)
	c.Assert((<-ended).Outcome, qt.Equals, request.Answered)
}

func TestSuspectedRequestsShareTheOnlyBackend(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "closed"}, behaviour{fault: "slow"})
	first := chat(b.clock.Now())
	second := first.WithBody([]byte(strings.Replace(string(first.Body), "hello", "other", 1)))
	results := make(chan dispatch.Result, 2)
	for _, r := range []request.Request{first, second} {
		go func() { results <- b.Do(context.Background(), r, &fakeWriter{}) }()
		<-b.backends[1].hung
	}
	close(b.backends[1].release)
	c.Assert((<-results).Outcome, qt.Equals, request.Answered)
	c.Assert((<-results).Outcome, qt.Equals, request.Answered)
}

// Guards against requests that are refused since one crash broke off several of the same content.
func TestCrashCountsOnceForRequestsOfOneContent(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "slow closed"}, behaviour{})
	results := make(chan dispatch.Result, 2)
	for _, id := range []string{"first", "second"} {
		r := chat(b.clock.Now())
		r.ID = id
		go func() { results <- b.Do(context.Background(), r, &fakeWriter{}) }()
		<-b.backends[0].hung
	}
	b.clock.Advance(time.Second)
	close(b.backends[0].release)
	c.Assert((<-results).Outcome, qt.Equals, request.Answered)
	c.Assert((<-results).Outcome, qt.Equals, request.Answered)
}
