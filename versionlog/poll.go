package versionlog

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// SilentDaemonError reports that not every other daemon that may serve streams has replied.
type SilentDaemonError struct{}

// Error implements error.
func (e *SilentDaemonError) Error() string { return "not all daemons reply" }

// OtherVersionError reports that another daemon may have begun streams at another version than the
// default one.
type OtherVersionError struct{ Daemon string }

// Error implements error.
func (e *OtherVersionError) Error() string {
	return "daemon " + e.Daemon + " may know of another version"
}

// peerReport is the newest report of another daemon.
type peerReport struct {
	streamversion.Report
	receivedAt time.Time
}

// Report returns what this daemon tells the others.
func (l *Log) Report() streamversion.Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.watch.Report(l.Clock.Now())
}

// ObservePeer records the report of another daemon.
func (l *Log) ObservePeer(daemon string, report streamversion.Report) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.peerReports[daemon] = peerReport{Report: report, receivedAt: l.Clock.Now()}
}

// pollPause is the time between two polls of the other daemons.
const pollPause = 100 * time.Millisecond

// poll asks every other daemon for its report. Searches share a poll that begins after they do, so
// that it covers all streams that began before.
func (l *Log) poll(ctx context.Context) error {
	if !l.Group.ExchangeWithAll(ctx, l.options.Watch.Lifetime) {
		return &SilentDaemonError{}
	}
	return nil
}

// checkPeers fails if another daemon has not reported since a time that it has seen the default
// version of a service only.
func (l *Log) checkPeers(service string, since time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for daemon, report := range l.peerReports {
		isNew := !report.receivedAt.Before(since)
		if isNew && (!report.IsKnown || slices.Contains(report.Mixed, service)) {
			return &OtherVersionError{Daemon: daemon}
		}
	}
	return nil
}
