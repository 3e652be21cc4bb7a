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
		return l.findWithoutStore(ctx, query, err)
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
// version can have begun it: neither this process nor any other daemon has seen one for as long as a
// stream lives. The others are asked anew for each search, since this daemon may not know yet what
// they have seen: it may be cut off, or have stood still.
func (l *Log) findWithoutStore(ctx context.Context, query streamversion.Query, cause error) (streamversion.Found, error) {
	unknown := &streamversion.UnknownError{Reason: streamversion.StoreUnavailable, Cause: cause}
	if !l.hasOnlyDefault(query.Service) {
		return streamversion.Found{}, unknown
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.FindTimeout)
	defer cancel()
	began := l.Clock.Now()
	err := l.polls.await(ctx)
	if err == nil {
		err = l.checkPeers(query.Service, began)
	}
	if err != nil {
		l.Count("Streams.PollsFailed", 1)
		l.Log.V(1).Info("VersionNotConfirmed", "Service", query.Service, "Reason", err.Error())
		return streamversion.Found{}, unknown
	}
	if !l.hasOnlyDefault(query.Service) {
		return streamversion.Found{}, unknown
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rule, _ := l.watch.Rule(query.Service)
	return streamversion.Found{Version: rule.Default, Source: streamversion.FromRule}, nil
}

func (l *Log) hasOnlyDefault(service string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.watch.HasOnlyDefault(service, l.Clock.Now())
}
