package versionlog

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// keepRules reads the rules, and replaces those that have to change, until ctx ends. It begins with
// a reading of the records, so that this process knows whether there are any.
func (l *Log) keepRules(ctx context.Context) {
	for l.reader.refresh(ctx) != nil {
		if clock.Sleep(ctx, l.Clock, l.options.Period) != nil {
			return
		}
	}
	for {
		l.checkRules(ctx)
		if clock.Sleep(ctx, l.Clock, l.options.Period) != nil {
			return
		}
	}
}

// checkRules makes one check. A store that does not answer is asked again at the next one.
func (l *Log) checkRules(ctx context.Context) {
	maxAge := l.options.RuleMaxAge
	if !l.followsRules() {
		// The rules don't change as long as this process sees one version only.
		maxAge = noMaxAge
	}
	if err := l.refreshRules(ctx, maxAge); err != nil {
		l.Count("Streams.RuleReadsFailed", 1)
		return
	}
	for _, service := range l.dueServices() {
		l.changeRule(ctx, service)
	}
}

// noMaxAge is the age up to which rules are used that can't change.
const noMaxAge = time.Duration(1<<63 - 1)

// followsRules reports whether another process may change a rule soon.
func (l *Log) followsRules() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, service := range l.watch.Services() {
		rule, known := l.watch.Rule(service)
		if !known || rule.RecordsAll || !l.watch.HasOneVersion(service) {
			return true
		}
	}
	return false
}

// dueServices returns the services whose rules this process has to change. One daemon does so at
// once, and the others if it doesn't.
func (l *Log) dueServices() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	var due []string
	for _, service := range l.watch.Services() {
		if _, needed := l.watch.Next(service, now); !needed {
			delete(l.dueSince, service)
			continue
		}
		if _, found := l.dueSince[service]; !found {
			l.dueSince[service] = now
		}
		if l.Group.Decides(service) || now.Sub(l.dueSince[service]) >= 2*l.options.Period {
			due = append(due, service)
		}
	}
	return due
}

// changeRule reads the rule of a service and replaces it if it still has to change.
func (l *Log) changeRule(ctx context.Context, service string) {
	if err := l.refreshRules(ctx, 0); err != nil {
		l.Count("Streams.RuleReadsFailed", 1)
		return
	}
	l.mutex.Lock()
	end := l.rulesEnd
	next, needed := l.watch.Next(service, l.Clock.Now())
	l.mutex.Unlock()
	if !needed {
		return
	}
	content, err := next.Encode()
	if err != nil {
		l.Log.Error(err, "StreamRuleNotEncoded", "Service", service)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	epoch, err := l.Store.PutAt(callCtx, l.options.RulesTopic, end.Offset, latest.Record{Key: service, Value: content})
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		// Another daemon was faster; the rules are read again at the next check.
	case err != nil:
		l.Count("Streams.RuleWritesFailed", 1)
	case epoch == end.Epoch:
		l.setRule(service, next)
	}
}

func (l *Log) observeEpoch(epoch uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.watch.ObserveEpoch(epoch, l.Clock.Now())
}

// observeNoRecords records that the store held no record of any stream at a time, in an epoch.
func (l *Log) observeNoRecords(epoch uint64, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.watch.ObserveEpoch(epoch, at)
	l.watch.ObserveNoRecords(at)
}

func (l *Log) setRule(service string, rule streamversion.Rule) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	previous, _ := l.watch.Rule(service)
	l.watch.SetRule(service, rule, l.Clock.Now())
	if current, _ := l.watch.Rule(service); current != previous {
		l.Log.Info("StreamRuleChanged", "Service", service, "DefaultVersion", current.Default,
			"RecordsAll", current.RecordsAll, "Generation", current.Generation, "Epoch", current.Epoch)
	}
}

// refreshRules reads the rules if they were last read longer ago than maxAge.
func (l *Log) refreshRules(ctx context.Context, maxAge time.Duration) error {
	began := clock.SuspendAwareNow(l.Clock)
	l.mutex.Lock()
	isRecent := !l.rulesReadAt.IsZero() && began.Sub(l.rulesReadAt) < maxAge
	l.mutex.Unlock()
	if isRecent {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	listing, err := l.Store.Newest(callCtx, l.options.RulesTopic)
	if err != nil {
		return err
	}
	l.reader.observeEpoch(listing.End.Epoch)
	l.observeEpoch(listing.End.Epoch)
	for _, record := range listing.Records {
		rule, err := streamversion.DecodeRule(record.Value)
		if err != nil {
			l.Count("Streams.RulesUnreadable", 1)
			l.Log.Error(err, "StreamRuleUnreadable", "Service", record.Key)
			continue
		}
		l.setRule(record.Key, rule)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rulesReadAt, l.rulesEnd = began, listing.End
	return nil
}
