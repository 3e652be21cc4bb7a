package dispatch_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/request"
)

func TestStreamIsPassedOnWhole(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, behaviour{})
	w := &caller{}
	result := b.Do(context.Background(), chat(b.clock.Now()), w)
	c.Assert(result.Problem, qt.IsNil)
	c.Assert(w.text(), qt.Equals, wholeText)
	c.Assert(result.Outcome, qt.Equals, request.Answered)
}

func TestKeyedRequestRunsOnceWhenSentTwice(t *testing.T) {
	c := qt.New(t)
	b := newBench(t, behaviour{})
	for range 2 {
		w := &caller{}
		result := b.Do(context.Background(), placement(b.clock.Now()).WithKey("key"), w)
		c.Assert(result.Problem, qt.IsNil)
		c.Assert(w.chunks, qt.DeepEquals, []string{serviceBody})
	}
	c.Assert(b.requests(), qt.Equals, 1)
}
