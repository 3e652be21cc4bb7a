package versionlog

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// Find returns which version began a stream. It fails with a *streamversion.UnknownError.
func (l *Log) Find(ctx context.Context, query streamversion.Query) (streamversion.Found, error) {
	found, err := l.find(ctx, query)
	if err != nil {
		l.Count("Streams.VersionsUnknown", 1)
		return streamversion.Found{}, err
	}
	l.Count("Streams.VersionsFrom"+string(found.Source), 1)
	return found, nil
}

func (l *Log) find(ctx context.Context, query streamversion.Query) (streamversion.Found, error) {
	if version, found := l.remembered(query); found {
		return streamversion.Found{Version: version, Source: streamversion.FromMemory}, nil
	}
	findCtx, cancel := context.WithTimeout(ctx, l.options.FindTimeout)
	defer cancel()
	if err := l.reader.refresh(findCtx); err != nil {
		return l.findWithoutStore(query, err)
	}
	record, hasRecord, isEmpty := l.reader.record(query.Stream)
	if query.HasID && hasRecord {
		return streamversion.Found{Version: record.Version, Source: streamversion.FromRecord}, nil
	}
	if !l.reader.isSettled(l.Clock.Now()) {
		return streamversion.Found{}, &streamversion.UnknownError{Reason: streamversion.StoreRestored}
	}
	return l.findByRule(query, isEmpty)
}

func (l *Log) remembered(query streamversion.Query) (version string, found bool) {
	if !query.HasID {
		return "", false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.own.Get(query.Stream)
}

// findByRule finds a stream without a record.
func (l *Log) findByRule(query streamversion.Query, noRecords bool) (streamversion.Found, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rule, known := l.watch.Rule(query.Service)
	hasOneVersion := noRecords && !rule.RecordsAll && l.watch.HasOneVersion(query.Service)
	switch {
	case !known, rule.Default == "":
		return streamversion.Found{}, &streamversion.UnknownError{Reason: streamversion.NoRecord}
	case rule.Epoch != l.rulesEnd.Epoch:
		return streamversion.Found{}, &streamversion.UnknownError{Reason: streamversion.StoreRestored}
	case !query.HasID && !hasOneVersion:
		return streamversion.Found{}, &streamversion.UnknownError{Reason: streamversion.NoID}
	}
	return streamversion.Found{Version: rule.Default, Source: streamversion.FromRule}, nil
}

// findWithoutStore finds a stream while the store can't be read. That is possible only if no other
// version can have begun it: this process has seen none for as long as a stream lives, and it hears
// the other daemons, which would have told it of one.
func (l *Log) findWithoutStore(query streamversion.Query, cause error) (streamversion.Found, error) {
	isCutOff := len(l.Group.SilentZones()) > 0
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if isCutOff || !l.watch.HasOnlyDefault(query.Service, l.Clock.Now()) {
		return streamversion.Found{}, &streamversion.UnknownError{Reason: streamversion.StoreUnavailable, Cause: cause}
	}
	rule, _ := l.watch.Rule(query.Service)
	return streamversion.Found{Version: rule.Default, Source: streamversion.FromRule}, nil
}
