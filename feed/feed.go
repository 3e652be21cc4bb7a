// Package feed follows a topic of the platform's metadata store. While the
// store does not answer this daemon, it follows the topic through other
// daemons.
package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options sets how a topic is followed.
type Options struct {
	Topic string
	// Period is the time between the beginnings of two rounds.
	Period time.Duration
	// SparePeriod is the time between two reads of the store by a daemon that
	// gets the topic from others; zero means that every round reads the store.
	SparePeriod time.Duration
	// StaleAfter is the age of what is held above which such a daemon reads the
	// store itself.
	StaleAfter time.Duration
	// Wait is how long a read may wait for a first record.
	Wait time.Duration
	// Timeout bounds one read, and LostTimeout one of a store that did not
	// answer the last time.
	Timeout, LostTimeout time.Duration
	// PeerTimeout bounds one read at another daemon.
	PeerTimeout time.Duration
	// OutageAfter is the time without a good read after which records that
	// were dropped may only have lapsed.
	OutageAfter time.Duration
}

// Peers reads a topic at other daemons.
type Peers interface {
	// ReadsForOthers reports whether this daemon is one of the few that read
	// the store often.
	ReadsForOthers() bool
	// Newest tells what the daemon knows that knows most of a topic; false when
	// none is heard.
	Newest(topic string) (Knowledge, bool)
	// Records returns what another daemon holds for one that knows every record
	// up to an offset, and how long ago that daemon read it.
	Records(ctx context.Context, topic string, from uint64) (latest.Extract, time.Duration, error)
	// Tell tells other daemons what was just read in the store. It never blocks.
	Tell(news News)
}

// News is what a read of the store has brought.
type News struct {
	Topic string
	// From is the offset up to which a daemon must know the topic before.
	From    uint64
	Extract latest.Extract
}

// Knowledge is how far a daemon knows a topic.
type Knowledge struct {
	End uint64
	// Age is how long ago the store was in that state.
	Age time.Duration
}

// Batch is what a read has changed.
type Batch struct {
	Records []latest.Record
	// AfterOutage is true for the first read after the store was away.
	AfterOutage bool
}

// Feed follows one topic.
type Feed struct {
	common  telemetry.Common
	options Options
	store   store.Store
	peers   Peers
	// take gets every change, one at a time.
	take func(Batch)
	// taking is held from a change of the topic to the end of take.
	taking sync.Mutex
	// woken gets a value when another daemon knows more.
	woken chan struct{}
	done  chan struct{}

	mutex sync.Mutex
	// topic is guarded by mutex.
	topic *latest.Topic
	// good is when the store was in the state that is held; guarded by mutex.
	good time.Time
	// read is true after the first whole listing; guarded by mutex.
	read bool
	// asked is when the store was last read; guarded by mutex.
	asked time.Time
	// isLost is true while the store does not answer; guarded by mutex.
	isLost bool
}

// New returns a feed that does nothing before Run.
func New(common telemetry.Common, options Options, s store.Store, peers Peers, take func(Batch)) *Feed {
	return &Feed{
		common: common, options: options, store: s, peers: peers, take: take,
		woken: make(chan struct{}, 1), done: make(chan struct{}), topic: latest.New(), good: common.Clock.Now(),
	}
}

// Done is closed by Run when it returns.
func (f *Feed) Done() <-chan struct{} { return f.done }

// Extract returns what is held for a daemon that knows every record up to an
// offset.
func (f *Feed) Extract(from uint64) latest.Extract {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.topic.Extract(from)
}

// End returns the offset up to which every record is known.
func (f *Feed) End() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.topic.End()
}

// Good returns when the topic was last read in the store, here or by the daemon
// that it was taken from.
func (f *Feed) Good() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.good
}

// Read reports whether the topic has been read whole.
func (f *Feed) Read() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.read
}

// Run follows the topic until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		began := f.common.Clock.Now()
		f.round(ctx)
		f.rest(ctx, f.options.Period-f.common.Clock.Since(began))
	}
}

// rest waits for the next round, or until another daemon knows more.
func (f *Feed) rest(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := f.common.Clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-f.woken:
	case <-ctx.Done():
	}
}

// Heard notes how far another daemon knows the topic. A daemon that gets the
// topic from others reads at once what it lacks.
func (f *Feed) Heard(end uint64) {
	if end <= f.End() || !f.Lost() && !f.isSpare() {
		return
	}
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// round reads the store once. Before it, it reads other daemons while the store
// does not answer; instead of it, when they read the store for this one.
func (f *Feed) round(ctx context.Context) {
	timeout, wait := f.options.Timeout, f.options.Wait
	switch {
	case f.Lost():
		// A read that waited for news would fail again when there is none.
		timeout, wait = f.options.LostTimeout, 0
		f.readPeers(ctx)
	case f.isSpare():
		f.readPeers(ctx)
		if f.isFresh() {
			return
		}
	}
	f.noteAsked()
	err := f.readStore(ctx, timeout, wait)
	if err == nil || ctx.Err() != nil {
		return
	}
	f.common.Count("Feed.ReadsFailed", 1)
	f.noteLoss(err)
}

// isSpare reports whether other daemons read the store for this one.
func (f *Feed) isSpare() bool {
	return f.options.SparePeriod > 0 && f.Read() && !f.peers.ReadsForOthers()
}

// isFresh reports whether what other daemons told is enough for now.
func (f *Feed) isFresh() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.common.Clock.Now()
	return now.Sub(f.good) < f.options.StaleAfter && now.Sub(f.asked) < f.options.SparePeriod
}

func (f *Feed) noteAsked() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.asked = f.common.Clock.Now()
}

func (f *Feed) readStore(ctx context.Context, timeout, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !f.Read() {
		return f.list(ctx)
	}
	from := f.End()
	records, end, err := f.store.ReadKeyed(ctx, f.options.Topic, from, wait)
	var gap *store.GapError
	if errors.As(err, &gap) {
		f.common.Log.Info("RecordsGone", "Topic", f.options.Topic, "Offset", from)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	extract := latest.Extract{Records: records, End: end}
	f.merge(extract, 0, true)
	if end > from && f.peers.ReadsForOthers() {
		f.peers.Tell(News{Topic: f.options.Topic, From: from, Extract: extract})
	}
	return nil
}

func (f *Feed) list(ctx context.Context) error {
	listing, end, err := f.store.Newest(ctx, f.options.Topic)
	if err != nil {
		return err
	}
	f.taking.Lock()
	defer f.taking.Unlock()
	f.mutex.Lock()
	changed := f.topic.Replace(listing, end)
	batch := f.succeed(changed, 0, true)
	f.read = true
	f.mutex.Unlock()
	f.take(batch)
	return nil
}

// readPeers takes over what another daemon knows more, or that what is held is
// still the state of the store.
func (f *Feed) readPeers(ctx context.Context) {
	newest, found := f.peers.Newest(f.options.Topic)
	if !found || newest.End < f.End() {
		return
	}
	if newest.End == f.End() && f.Read() {
		f.confirm(newest.Age)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.PeerTimeout)
	defer cancel()
	extract, age, err := f.peers.Records(ctx, f.options.Topic, f.End())
	if err != nil {
		f.common.Count("Feed.PeerReadsFailed", 1)
		return
	}
	if extract.End <= f.End() {
		return
	}
	f.merge(extract, age, false)
}

// Told takes in what another daemon has just read. What was read before it is
// asked for when it is missing.
func (f *Feed) Told(news News) {
	if !f.Read() || news.From > f.End() {
		f.Heard(news.Extract.End)
		return
	}
	if news.Extract.End > f.End() {
		f.merge(news.Extract, 0, false)
	}
}

func (f *Feed) merge(extract latest.Extract, age time.Duration, fromStore bool) {
	f.taking.Lock()
	defer f.taking.Unlock()
	f.mutex.Lock()
	changed := f.topic.Take(extract)
	batch := f.succeed(changed, age, fromStore)
	f.mutex.Unlock()
	f.take(batch)
}

// confirm notes that what is held was the state of the store some time ago.
func (f *Feed) confirm(age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if good := f.common.Clock.Now().Add(-age); good.After(f.good) {
		f.good = good
	}
}

// succeed notes a read that is as good as one of the store some time ago. It is
// called with the mutex held.
func (f *Feed) succeed(changed []latest.Record, age time.Duration, fromStore bool) Batch {
	good := f.common.Clock.Now().Add(-age)
	batch := Batch{Records: changed, AfterOutage: f.read && good.Sub(f.good) > f.options.OutageAfter}
	if good.After(f.good) {
		f.good = good
	}
	if fromStore && f.isLost {
		f.isLost = false
		f.common.Log.Info("StoreBack", "Topic", f.options.Topic)
	}
	return batch
}

func (f *Feed) noteLoss(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isLost {
		return
	}
	f.isLost = true
	f.common.Log.Info("StoreLost", "Topic", f.options.Topic, "Error", err.Error())
}

// Lost reports whether the store did not answer the last time.
func (f *Feed) Lost() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.isLost
}
