package feed_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
)

// restoredBatches returns the batches that were read first after a restore.
func (h *harness) restoredBatches() []feed.Batch {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var restored []feed.Batch
	for _, batch := range h.batches {
		if batch.Restored {
			restored = append(restored, batch)
		}
	}
	return restored
}

// TestReaderListsRestoredStore covers a store that comes back from an older copy and
// grows beyond the reader's offset before the next read.
func TestReaderListsRestoredStore(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		written []string
	}{
		{"store ends before the reader's offset", nil},
		{"store has grown beyond the reader's offset", []string{"x", "y", "z"}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.store.put("a", "1")
			h.eventually("the first value", func() bool { return h.value("a") == "1" })
			h.store.put("a", "2")
			h.store.put("b", "1")
			h.eventually("the last value", func() bool { return h.value("b") == "1" })

			h.store.set(func(s *fakeStore) {
				s.records, s.epoch = s.records[:1:1], s.epoch+1
				for _, key := range scenario.written {
					s.records = append(s.records, latest.Record{Key: key, Value: []byte("1"), Offset: uint64(len(s.records))})
				}
			})

			h.eventually("the older value", func() bool { return h.value("a") == "1" })
			h.eventually("the loss of b", func() bool { return h.value("b") == "" })
			for _, key := range scenario.written {
				h.eventually(key, func() bool { return h.value(key) == "1" })
			}
			restored := h.restoredBatches()
			h.c.Assert(restored, qt.HasLen, 1)
			h.c.Check(restored[0].AfterOutage, qt.IsTrue)
			h.c.Check(h.feed.End().Epoch, qt.Equals, uint64(1))
			h.store.put("a", "3")
			h.eventually("a new value", func() bool { return h.value("a") == "3" })
			h.peers.mutex.Lock()
			defer h.peers.mutex.Unlock()
			broadcast := 0
			for _, update := range h.peers.broadcast {
				if update.Extract.AllKeys {
					broadcast++
				}
			}
			h.c.Check(broadcast, qt.Equals, 1, qt.Commentf("the listing is broadcast once"))
		})
	}
}

// TestFollowerTakesRestoredTopic covers a follower that learns of a restored store by a
// broadcast listing, and one that reads from a peer. An answer of an earlier epoch that
// comes late changes nothing.
func TestFollowerTakesRestoredTopic(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		learn func(h *harness)
	}{
		{"broadcast", func(h *harness) {
			listing, _ := h.store.Newest(context.Background(), "x")
			h.feed.ApplyUpdate(feed.Update{Topic: "x", Extract: listing})
		}},
		{"a part of the new epoch is broadcast", func(h *harness) {
			h.peers.copyFrom(h.store)
			end := latest.Position{Epoch: 1, Offset: 1}
			h.feed.ApplyUpdate(feed.Update{Topic: "x", From: end, Extract: latest.Extract{End: end}})
		}},
		{"end told by a peer", func(h *harness) {
			h.peers.copyFrom(h.store)
			h.feed.HandlePeerEnd(latest.Position{Epoch: 1, Offset: 1})
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := &fakeStore{}
			s.put("a", "1")
			s.put("a", "2")
			h := newHarnessWith(t, s, &fakePeers{topic: latest.New(), isFollower: true}, func(o *feed.Options) {
				o.Period, o.FollowerReadPeriod, o.StaleAfter = time.Hour, time.Hour, time.Hour
			})
			h.eventually("the first value", func() bool { return h.value("a") == "2" })
			late, _ := h.store.Newest(context.Background(), "x")
			h.store.restore(1)
			scenario.learn(h)
			h.eventually("the older value", func() bool { return h.value("a") == "1" })
			h.feed.ApplyUpdate(feed.Update{Topic: "x", Extract: late})
			h.c.Check(h.value("a"), qt.Equals, "1")
			h.c.Check(h.feed.End(), qt.Equals, latest.Position{Epoch: 1, Offset: 1})
			h.c.Check(h.restoredBatches(), qt.HasLen, 1)
		})
	}
}
