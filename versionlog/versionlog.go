// Package versionlog records in the platform's store which software version of a service's runners
// began a stream, and finds it when a caller resumes the stream, at any daemon and also after all
// daemons were killed.
package versionlog

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options configures a Log.
type Options struct {
	// RecordsTopic holds the batches of records of streams, and RulesTopic the rule of each
	// service.
	RecordsTopic, RulesTopic string
	// Process identifies this process, that is, this start of the daemon.
	Process string
	Watch   streamversion.WatchOptions
	// Period is the time between two checks of the rules.
	Period time.Duration
	// RuleMaxAge is the age above which a rule is read again before a stream is found by it.
	RuleMaxAge time.Duration
	// Timeout bounds a call to the store, and FindTimeout a search for a stream.
	Timeout, FindTimeout time.Duration
	// RetryDelay is the time from a failed call to the next one.
	RetryDelay time.Duration
	// HealthyWithin is how long a record may take before new streams avoid versions that need
	// one.
	HealthyWithin time.Duration
	// BatchLength is the time for which records are added to one batch, and MaxBatch the number
	// of them.
	BatchLength time.Duration
	MaxBatch    int
	// MaxPending bounds the records that wait to be written.
	MaxPending int
	// CleanupPeriod is the time between two removals of the batches of processes that ended.
	CleanupPeriod time.Duration
	// WritesPerSecond is the number of writing calls that all daemons together may make, or zero
	// if it is not known.
	WritesPerSecond float64
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions(process string, watch streamversion.WatchOptions) Options {
	return Options{
		RecordsTopic: "keyed.streams", RulesTopic: "keyed.streamrules", Process: process, Watch: watch,
		Period: 250 * time.Millisecond, RuleMaxAge: 5 * time.Second, Timeout: 400 * time.Millisecond, FindTimeout: 800 * time.Millisecond,
		RetryDelay: 100 * time.Millisecond, HealthyWithin: 250 * time.Millisecond, BatchLength: 5 * time.Second, MaxBatch: 128,
		MaxPending: 4096, CleanupPeriod: 30 * time.Second,
	}
}

// Group is the set of daemons that share the store.
type Group interface {
	// Size returns the number of known daemons, including this one.
	Size() int
	// Decides reports whether this daemon is the one of the group that decides on the matter with
	// the key.
	Decides(key string) bool
	// ExchangeWithAll exchanges reports with the other daemons. It returns whether all of those
	// have replied that were heard within a time, or became known within it.
	ExchangeWithAll(ctx context.Context, heardWithin time.Duration) bool
}

// Dependencies are the dependencies of a Log.
type Dependencies struct {
	Store store.Store
	Group Group
}

// maxRemembered bounds the streams of this process that are kept in memory.
const maxRemembered = 1 << 14

// Log knows which versions began which streams. It is safe for concurrent use.
type Log struct {
	telemetry.Common
	Dependencies
	options Options
	writer  *writer
	reader  *reader
	polls   *sharedCalls
	// done is closed when Run has returned.
	done chan struct{}

	mutex sync.Mutex
	// watch follows the versions and rules of services; guarded by mutex.
	watch *streamversion.Watch
	// own holds the version of the streams that this process served; guarded by mutex.
	own *simplelru.LRU[streamversion.Stream, string]
	// rulesReadAt is when the rules were last read, by a clock that runs while the VM is
	// suspended; zero before the first time. rulesEnd is the end of their topic. Both are guarded
	// by mutex.
	rulesReadAt time.Time
	rulesEnd    latest.Position
	// dueSince is since when the rule of a service has to change; guarded by mutex.
	dueSince map[string]time.Time
	// peerReports holds the newest report of each other daemon; guarded by mutex.
	peerReports map[string]peerReport
}

// New returns a log that reads and writes nothing before Run.
func New(common telemetry.Common, dependencies Dependencies, options Options) *Log {
	own, err := simplelru.NewLRU[streamversion.Stream, string](maxRemembered, nil)
	if err != nil {
		// Only a size that is not positive is refused.
		panic(err)
	}
	l := &Log{
		Common: common, Dependencies: dependencies, options: options, done: make(chan struct{}), own: own,
		watch: streamversion.NewWatch(options.Watch, common.Clock.Now()), dueSince: make(map[string]time.Time),
		polls: newSharedCalls(common.Clock), peerReports: make(map[string]peerReport),
	}
	l.writer = newWriter(l)
	l.reader = newReader(l)
	return l
}

// Done returns a channel that is closed when Run has returned.
func (l *Log) Done() <-chan struct{} { return l.done }

// Run writes records and keeps the rules until ctx ends.
func (l *Log) Run(ctx context.Context) {
	defer close(l.done)
	var tasks sync.WaitGroup
	tasks.Go(func() { l.writer.run(ctx) })
	tasks.Go(func() { l.reader.run(ctx) })
	tasks.Go(func() { l.polls.run(ctx, pollPause, l.poll) })
	tasks.Go(func() { l.keepRules(ctx) })
	tasks.Go(func() { l.removeOldBatches(ctx) })
	tasks.Wait()
}

// SetRunners replaces the known runners.
func (l *Log) SetRunners(runners []inventory.Runner) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, changed := range l.watch.Observe(runners, l.Clock.Now()) {
		l.Log.Info("VersionsChanged", "Service", changed.Service, "Versions", changed.Names)
	}
}

// VersionToBegin returns the version at which a new stream of a service has to begin, or empty if
// any may begin it. While records can't be written, that is the version that needs none.
func (l *Log) VersionToBegin(service string) string {
	if l.writer.isHealthy() {
		return ""
	}
	return l.DefaultVersion(service)
}

// CanRecord reports whether the record of a stream that begins now is likely to be written in time.
func (l *Log) CanRecord() bool { return l.writer.canRecord() }

// DefaultVersion returns the version of a service whose streams need no record, or empty if there
// is none.
func (l *Log) DefaultVersion(service string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rule, known := l.watch.Rule(service)
	if !known || rule.RecordsAll {
		return ""
	}
	return rule.Default
}

// NeedsRecord reports whether a stream that a version of a service begins has to be recorded.
func (l *Log) NeedsRecord(service, version string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rule, known := l.watch.Rule(service)
	return !known || rule.NeedsRecord(version)
}

// Record writes which version begins a stream. The channel is closed once the store holds it.
func (l *Log) Record(record streamversion.Record) <-chan struct{} { return l.writer.add(record) }

// Withdraw withdraws a record, and reports whether the store neither holds it nor will.
func (l *Log) Withdraw(record streamversion.Record) bool { return l.writer.withdraw(record) }

// Remember keeps in memory that the caller of a stream has an event of a version.
func (l *Log) Remember(stream streamversion.Stream, version string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.own.Add(stream, version)
}

// ObserveRestore has the rules read and the records of this process written again after the store
// was restored from an older copy.
func (l *Log) ObserveRestore(epoch uint64) {
	l.reader.observeEpoch(epoch)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rulesReadAt = time.Time{}
}
