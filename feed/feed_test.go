package feed_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// fakeStore holds one topic.
type fakeStore struct {
	store.Store
	mutex   sync.Mutex
	records []latest.Record
	first   uint64
	down    bool
	reads   int
}

func (s *fakeStore) end() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return uint64(len(s.records))
}

func (s *fakeStore) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.records = append(s.records, latest.Record{Key: key, Value: []byte(value), Offset: uint64(len(s.records))})
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

func (s *fakeStore) Newest(context.Context, string) ([]latest.Record, uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	if s.down {
		return nil, 0, &store.UnavailableError{Status: 503}
	}
	topic := latest.New()
	topic.Merge(s.records, uint64(len(s.records)))
	var listing []latest.Record
	for _, record := range topic.Since(0) {
		if !record.Dropped() {
			listing = append(listing, record)
		}
	}
	return listing, uint64(len(s.records)), nil
}

func (s *fakeStore) ReadKeyed(ctx context.Context, _ string, from uint64, wait time.Duration) ([]latest.Record, uint64, error) {
	if s.end() <= from {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, 0, &store.UnavailableError{Cause: ctx.Err()}
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	switch {
	case s.down:
		return nil, 0, &store.UnavailableError{Status: 503}
	case from < s.first:
		return nil, 0, &store.GapError{First: s.first}
	default:
		return s.records[from:], uint64(len(s.records)), nil
	}
}

// fakePeers is another daemon that reads the same store.
type fakePeers struct {
	mutex   sync.Mutex
	topic   *latest.Topic
	isSpare bool
	// age is how long ago the daemon read the store.
	age time.Duration
	// told is what the feed has told.
	told []feed.News
}

func (p *fakePeers) ReadsForOthers() bool { return !p.isSpare }

func (p *fakePeers) Newest(string) (feed.Knowledge, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return feed.Knowledge{End: p.topic.End(), Age: p.age}, true
}

func (p *fakePeers) Records(_ context.Context, _ string, from uint64) (latest.Extract, time.Duration, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.topic.Extract(from), p.age, nil
}

func (p *fakePeers) Tell(news feed.News) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.told = append(p.told, news)
}

func (p *fakePeers) setAge(age time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.age = age
}

func (p *fakePeers) copyFrom(s *fakeStore) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.topic.Merge(s.records, uint64(len(s.records)))
}

type rig struct {
	c     *qt.C
	store *fakeStore
	peers *fakePeers
	feed  *feed.Feed

	mutex   sync.Mutex
	batches []feed.Batch
}

func newRig(t *testing.T, change func(*feed.Options)) *rig {
	return newRigOn(t, &fakeStore{}, &fakePeers{topic: latest.New()}, change)
}

// newSpareRig is a daemon that others read the store for, over a store that
// holds a = 1 from the start: a daemon reads the store until it has listed it.
func newSpareRig(t *testing.T, staleAfter time.Duration) *rig {
	s := &fakeStore{}
	s.put("a", "1")
	return newRigOn(t, s, &fakePeers{topic: latest.New(), isSpare: true}, func(o *feed.Options) {
		o.SparePeriod, o.StaleAfter = time.Hour, staleAfter
	})
}

func newRigOn(t *testing.T, s *fakeStore, peers *fakePeers, change func(*feed.Options)) *rig {
	r := &rig{c: qt.New(t), store: s, peers: peers}
	common := telemetry.NewCommon()
	common.Log = logr.Discard()
	options := feed.Options{
		Topic: "x", Period: 5 * time.Millisecond, Timeout: time.Second, LostTimeout: time.Second, PeerTimeout: time.Second, OutageAfter: 100 * time.Millisecond,
	}
	if change != nil {
		change(&options)
	}
	r.feed = feed.New(common, options, r.store, r.peers, func(b feed.Batch) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.batches = append(r.batches, b)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go r.feed.Run(ctx)
	r.c.Cleanup(func() {
		cancel()
		<-r.feed.Done()
	})
	return r
}

// value returns the newest value of a key that was handed on.
func (r *rig) value(key string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	value := ""
	for _, batch := range r.batches {
		for _, record := range batch.Records {
			if record.Key == key {
				value = string(record.Value)
			}
		}
	}
	return value
}

func (r *rig) eventually(what string, holds func() bool) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	r.c.Fatalf("never: %s", what)
}

func TestChangesAreHandedOn(t *testing.T) {
	r := newRig(t, nil)
	r.store.put("a", "1")
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.store.put("a", "2")
	r.eventually("second", func() bool { return r.value("a") == "2" })
}

func TestForgottenHistoryLosesNothing(t *testing.T) {
	r := newRig(t, nil)
	r.store.put("a", "1")
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.store.set(func(s *fakeStore) {
		s.records = append(s.records, latest.Record{Key: "b", Value: []byte("2"), Offset: 1}, latest.Record{Key: "a", Offset: 2})
		s.first = 3
	})
	r.eventually("the record in the gap", func() bool { return r.value("b") == "2" })
	r.eventually("the key dropped in the gap", func() bool { return r.value("a") == "" })
}

func TestPeersStandInWhileTheStoreTurnsThisDaemonAway(t *testing.T) {
	r := newRig(t, nil)
	r.store.put("a", "1")
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.store.set(func(s *fakeStore) { s.down = true })
	r.store.put("a", "2")
	r.peers.copyFrom(r.store)
	r.eventually("the change that peers know", func() bool { return r.value("a") == "2" })
}

func TestDaemonThatStartsWhileTurnedAway(t *testing.T) {
	r := newRig(t, nil)
	r.store.set(func(s *fakeStore) { s.down = true })
	r.store.put("a", "1")
	r.peers.copyFrom(r.store)
	r.eventually("the record that peers know", func() bool { return r.value("a") == "1" })
}

func TestFirstReadAfterAnOutageSaysSo(t *testing.T) {
	r := newRig(t, func(o *feed.Options) { o.OutageAfter = time.Second })
	r.store.put("a", "1")
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.store.set(func(s *fakeStore) { s.down = true })
	time.Sleep(1200 * time.Millisecond)
	r.store.set(func(s *fakeStore) {
		s.records = append(s.records, latest.Record{Key: "a", Offset: 1})
		s.down = false
	})
	r.eventually("the dropped key", func() bool { return r.value("a") == "" })
	r.mutex.Lock()
	defer r.mutex.Unlock()
	after := 0
	for _, batch := range r.batches {
		if batch.AfterOutage {
			after++
			r.c.Check(batch.Records, qt.HasLen, 1)
		}
	}
	r.c.Check(after, qt.Equals, 1)
}

// TestStoreIsBackWithoutNews is a topic in which nothing is written after the
// store was away: the first read must not wait longer than it may take.
func TestStoreIsBackWithoutNews(t *testing.T) {
	r := newRig(t, func(o *feed.Options) {
		o.Wait, o.Timeout, o.LostTimeout = 200*time.Millisecond, 400*time.Millisecond, 50*time.Millisecond
	})
	r.store.put("a", "1")
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.store.set(func(s *fakeStore) { s.down = true })
	r.eventually("the loss", r.feed.Lost)
	r.store.set(func(s *fakeStore) { s.down = false })
	r.eventually("the return", func() bool { return !r.feed.Lost() })
}

func TestSpareDaemonLeavesTheStoreAlone(t *testing.T) {
	r := newSpareRig(t, time.Hour)
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.store.set(func(s *fakeStore) { s.reads = 0 })
	r.store.put("a", "2")
	r.peers.copyFrom(r.store)
	r.eventually("second", func() bool { return r.value("a") == "2" })
	r.store.mutex.Lock()
	defer r.store.mutex.Unlock()
	r.c.Check(r.store.reads, qt.Equals, 0)
}

// TestNewsWakesASpareDaemon is a daemon that hears between two rounds that others
// know more.
func TestNewsWakesASpareDaemon(t *testing.T) {
	s := &fakeStore{}
	s.put("a", "1")
	r := newRigOn(t, s, &fakePeers{topic: latest.New(), isSpare: true}, func(o *feed.Options) {
		o.Period, o.SparePeriod, o.StaleAfter = time.Hour, time.Hour, time.Hour
	})
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.store.put("a", "2")
	r.peers.copyFrom(r.store)
	r.feed.Heard(1)
	r.feed.Heard(2)
	r.eventually("second", func() bool { return r.value("a") == "2" })
}

// TestReaderTellsWhatItReads is the daemon that reads for the others.
func TestReaderTellsWhatItReads(t *testing.T) {
	r := newRig(t, nil)
	r.store.put("a", "1")
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.store.put("a", "2")
	r.eventually("second", func() bool { return r.value("a") == "2" })
	r.eventually("the news", func() bool {
		r.peers.mutex.Lock()
		defer r.peers.mutex.Unlock()
		return len(r.peers.told) > 0 && r.peers.told[len(r.peers.told)-1].Extract.End == 2
	})
}

// TestToldNewsNeedsNoRound is a daemon that is told between two rounds.
func TestToldNewsNeedsNoRound(t *testing.T) {
	s := &fakeStore{}
	s.put("a", "1")
	r := newRigOn(t, s, &fakePeers{topic: latest.New(), isSpare: true}, func(o *feed.Options) {
		o.Period, o.SparePeriod, o.StaleAfter = time.Hour, time.Hour, time.Hour
	})
	r.eventually("first", func() bool { return r.value("a") == "1" })
	news := func(from uint64, value string) feed.News {
		record := latest.Record{Key: "a", Value: []byte(value), Offset: from}
		return feed.News{Topic: "x", From: from, Extract: latest.Extract{Records: []latest.Record{record}, End: from + 1}}
	}
	r.feed.Told(news(1, "2"))
	r.c.Check(r.value("a"), qt.Equals, "2")
	r.feed.Told(news(0, "old"))
	r.c.Check(r.value("a"), qt.Equals, "2")
	r.store.put("a", "2")
	r.store.put("b", "1")
	r.store.put("a", "3")
	r.peers.copyFrom(r.store)
	r.feed.Told(news(3, "3"))
	r.eventually("what lay between", func() bool { return r.value("b") == "1" && r.value("a") == "3" })
}

// TestOldNewsOfAReaderIsNotFresh is a reader that hands on what it read before it
// was paused: that is not the state of the store.
func TestOldNewsOfAReaderIsNotFresh(t *testing.T) {
	r := newRig(t, nil)
	r.store.put("a", "1")
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.peers.setAge(time.Hour)
	r.store.set(func(s *fakeStore) { s.down = true })
	r.eventually("the loss", r.feed.Lost)
	last := r.feed.Good()
	for _, value := range []string{"2", "3"} {
		r.store.put("a", value)
		r.peers.copyFrom(r.store)
		r.eventually(value, func() bool { return r.value("a") == value })
		r.c.Check(r.feed.Good(), qt.Equals, last)
	}
}

// TestQuietTopicIsFreshWhileAReaderSaysSo is a topic in which nothing happens: a
// spare daemon does not read the store as long as a reader confirms its state.
func TestQuietTopicIsFreshWhileAReaderSaysSo(t *testing.T) {
	r := newSpareRig(t, 50*time.Millisecond)
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.peers.copyFrom(r.store)
	time.Sleep(100 * time.Millisecond)
	r.store.set(func(s *fakeStore) { s.reads = 0 })
	time.Sleep(200 * time.Millisecond)
	r.store.set(func(s *fakeStore) { r.c.Check(s.reads, qt.Equals, 0) })
	r.peers.setAge(time.Minute)
	r.eventually("an own read", func() bool {
		read := false
		r.store.set(func(s *fakeStore) { read = s.reads > 0 })
		return read
	})
}

func TestSpareDaemonReadsWhenItsReadersFallSilent(t *testing.T) {
	r := newSpareRig(t, 50*time.Millisecond)
	r.eventually("first", func() bool { return r.value("a") == "1" })
	r.store.put("a", "2")
	r.eventually("second", func() bool { return r.value("a") == "2" })
}
