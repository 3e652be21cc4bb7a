package store_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
)

// slowStore is a store whose calls take a second and return the same error.
type slowStore struct {
	clock interface{ Advance(time.Duration) }
	err   error
}

func (s *slowStore) call() error {
	s.clock.Advance(time.Second)
	return s.err
}

func (s *slowStore) Newest(context.Context, string) (latest.Extract, error) {
	return latest.Extract{Records: []latest.Record{{Key: "a"}}, End: latest.Position{Epoch: 2, Offset: 3}}, s.call()
}

func (s *slowStore) ReadKeyed(context.Context, string, uint64, time.Duration) (latest.Extract, error) {
	return latest.Extract{End: latest.Position{Offset: 4}}, s.call()
}

func (s *slowStore) Put(context.Context, string, ...latest.Record) (uint64, error) {
	return 7, s.call()
}

func (s *slowStore) PutAt(context.Context, string, uint64, latest.Record) (uint64, error) {
	return 8, s.call()
}

func (s *slowStore) Read(context.Context, string, uint64, time.Duration) (store.Entries, error) {
	return store.Entries{Epoch: 5}, s.call()
}

func (s *slowStore) Append(context.Context, string, uint64, []byte) (uint64, error) {
	return 6, s.call()
}

func TestObserverGetsEachCallWithItsResult(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		err    error
		result store.CallResult
	}{
		{"done", nil, store.Done},
		{"no response", &store.UnavailableError{Call: "x"}, store.Unavailable},
		{"response can't be decoded", &store.ResponseError{Call: "x"}, store.Unreadable},
		{"records no longer retained", &store.GapError{First: latest.Position{Offset: 2}}, store.Gap},
		{"conflicting append", &store.ConflictError{End: latest.Position{Offset: 2}}, store.Conflict},
		{"other error", errors.New("no disk"), store.Failed},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			fake := clock.NewFake(time.Unix(0, 0))
			var observed []store.Call
			wrapper := store.NewObservedStore(&slowStore{clock: fake, err: scenario.err}, fake, func(call store.Call) {
				observed = append(observed, call)
			})
			ctx := context.Background()

			listing, err := wrapper.Newest(ctx, "t")
			c.Check(err, qt.Equals, scenario.err)
			c.Check(listing.Records, qt.HasLen, 1)
			c.Check(listing.End, qt.Equals, latest.Position{Epoch: 2, Offset: 3})
			extract, err := wrapper.ReadKeyed(ctx, "t", 0, 0)
			c.Check(err, qt.Equals, scenario.err)
			c.Check(extract.End, qt.Equals, latest.Position{Offset: 4})
			epoch, err := wrapper.Put(ctx, "t", latest.Record{Key: "k"})
			c.Check(err, qt.Equals, scenario.err)
			c.Check(epoch, qt.Equals, uint64(7))
			epoch, err = wrapper.PutAt(ctx, "t", 3, latest.Record{Key: "k"})
			c.Check(err, qt.Equals, scenario.err)
			c.Check(epoch, qt.Equals, uint64(8))
			entries, err := wrapper.Read(ctx, "t", 0, 0)
			c.Check(err, qt.Equals, scenario.err)
			c.Check(entries.Epoch, qt.Equals, uint64(5))
			epoch, err = wrapper.Append(ctx, "t", 0, nil)
			c.Check(err, qt.Equals, scenario.err)
			c.Check(epoch, qt.Equals, uint64(6))

			names := []string{"Newest", "ReadKeyed", "Put", "PutAt", "Read", "Append"}
			c.Assert(observed, qt.HasLen, len(names))
			for i, name := range names {
				c.Check(observed[i], qt.Equals, store.Call{Name: name, Topic: "t", Result: scenario.result, Duration: time.Second})
			}
		})
	}
}
