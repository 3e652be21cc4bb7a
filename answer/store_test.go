package answer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func newStore(options answer.Options) (*answer.Store, *clockwork.FakeClock) {
	common := telemetry.NewCommon()
	fake := clock.NewFake(time.Unix(0, 0))
	common.Clock = fake
	return answer.New(common, options), fake
}

func TestWaitReturnsAnswerInProgress(t *testing.T) {
	c := qt.New(t)
	store, _ := newStore(answer.DefaultOptions())
	loser := store.Begin("key")
	winner := store.Begin("key")
	got := make(chan answer.Answer, 1)
	go func() {
		response, _ := store.Wait(context.Background(), "key")
		got <- response
	}()

	loser.Abandon()
	winner.Finish(answer.Answer{Key: "key", Status: 201})
	winner.Abandon()

	c.Assert((<-got).Status, qt.Equals, 201)
	response, err := store.Wait(context.Background(), "key")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, 201)
}

func TestWaitFailsWhenNoAnswerIsPending(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		prepare func(store *answer.Store)
	}{
		{"no answer pending", func(*answer.Store) {}},
		{"abandoned", func(store *answer.Store) { store.Begin("key").Abandon() }},
		{"forgotten", func(store *answer.Store) {
			store.Begin("key").Finish(answer.Answer{Key: "key"})
			store.Remove("key")
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			store, _ := newStore(answer.DefaultOptions())
			scenario.prepare(store)

			_, err := store.Wait(context.Background(), "key")

			var missing *answer.NotFoundError
			c.Assert(errors.As(err, &missing), qt.IsTrue)
		})
	}
}

func TestWaitEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	store, _ := newStore(answer.DefaultOptions())
	defer store.Begin("key").Abandon()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	_, err := store.Wait(ctx, "key")

	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
}

func TestStoreIsBounded(t *testing.T) {
	body := make([]byte, 100)
	for _, scenario := range []struct {
		name    string
		options answer.Options
		elapsed time.Duration
		stored  int
	}{
		{"by number", answer.Options{MaxAnswers: 3, MaxBytes: 1 << 20, Lifetime: time.Hour}, 0, 3},
		{"by size", answer.Options{MaxAnswers: 10, MaxBytes: 250, Lifetime: time.Hour}, 0, 2},
		{"by lifetime", answer.Options{MaxAnswers: 10, MaxBytes: 1 << 20, Lifetime: time.Minute}, time.Minute, 0},
		{"answers above the size limit are not stored", answer.Options{MaxAnswers: 10, MaxBytes: 99, Lifetime: time.Hour}, 0, 0},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			store, fake := newStore(scenario.options)
			for _, key := range []claim.Key{"a", "b", "c", "d", "e"} {
				store.Begin(key).Finish(answer.Answer{Key: key, Body: body})
			}
			fake.Advance(scenario.elapsed)
			_, err := store.Wait(context.Background(), "a")
			c.Assert(err, qt.ErrorMatches, "no answer for key a")
			c.Assert(store.Len(), qt.Equals, scenario.stored)
		})
	}
}
