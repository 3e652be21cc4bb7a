package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/rollout"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// versionRecord is a record of which version begins the stream of an exchange. It is zero before
// the first one.
type versionRecord struct {
	streamversion.Record
	// recorded is closed once the store holds the record.
	recorded <-chan struct{}
}

// resumesStream reports whether the caller has events of the stream from an earlier attempt.
func (x *exchange) resumesStream() bool {
	return x.route.Kind == catalog.Stream && x.call.LastEvent > 0
}

// beginsStream reports whether the request begins a stream that its caller may resume.
func (x *exchange) beginsStream() bool {
	return x.route.Kind == catalog.Stream && x.route.Resumable && x.call.LastEvent == 0
}

// firstCallID returns the ID of the attempt by the caller that brought the first event of the
// stream, as far as the caller names it.
func (x *exchange) firstCallID() string {
	if x.call.LastEvent > 0 && x.call.Resumes != "" {
		return x.call.Resumes
	}
	return x.call.ID
}

// findVersion binds a resumed stream to the version that began it. It refuses the request if that
// is not known.
func (x *exchange) findVersion() *Refusal {
	if !x.resumesStream() {
		return nil
	}
	query := streamversion.Query{Service: x.service, Stream: x.stream, HasID: x.call.Resumes != ""}
	found, err := x.StreamVersions.Find(x.ctx, query)
	if err != nil {
		return unavailable("VersionUnknown", retryAfterVersionUnknown, err)
	}
	x.version = found.Version
	x.mutex.Lock()
	x.hold(found.Version, x.Clock.Now())
	x.mutex.Unlock()
	if query.HasID {
		x.StreamVersions.Remember(x.stream, found.Version)
	}
	x.Log.V(1).Info("VersionFound", "Request", x.call.ID, "Resumes", x.call.Resumes, "Version", found.Version, "Source", string(found.Source),
		"Runners", x.Balancer.AvailableRunners(x.service, found.Version))
	return nil
}

// recordEarly records the version of the first attempt while its runner prepares the first event.
func (x *exchange) recordEarly(a *attempt) {
	version := a.choice.Runner.Version
	if a.number == 1 && x.beginsStream() && x.StreamVersions.NeedsRecord(x.service, version) {
		x.beginRecord(version)
	}
}

func (x *exchange) beginRecord(version string) {
	record := streamversion.Record{Stream: x.stream, Number: x.record.Number + 1, Version: version}
	x.record = versionRecord{Record: record, recorded: x.StreamVersions.Record(record)}
}

// awaitRecord waits before the first event until the version of the stream is recorded, if it has
// to be: a caller that has an event of a stream may resume it at any daemon. The attempt fails if
// that takes long and another version needs no record. After the switch of a roll-out it also fails when
// the rest of the time is needed for another attempt of the caller.
func (x *exchange) awaitRecord(a *attempt) error {
	if !x.beginsStream() || x.version != "" {
		return nil
	}
	version := a.choice.Runner.Version
	x.supersedeRecord(version)
	if x.record.Number == 0 || x.isRecorded() {
		return nil
	}
	x.Count("Streams.AwaitRecord", 1)
	began := x.Clock.Now()
	longest := time.Duration(recordWaitShare * float64(x.timeLeft(began)))
	for {
		recorded, err := x.awaitRecordOnce(a)
		if recorded || err != nil {
			return err
		}
		isOver := x.isSwitched() && x.Clock.Since(began) >= longest
		if isOver || x.mayBeginAtDefault(version) {
			x.Count("Streams.RecordTimeouts", 1)
			return &RecordTimeoutError{Version: version}
		}
	}
}

// recordWaitShare is the part of the remaining time for which a stream waits for its record after the
// switch of a roll-out. Callers wait as long between two attempts.
const recordWaitShare = 1.0 / 3

// isSwitched reports whether the last attempt was chosen after the switch of a roll-out.
func (x *exchange) isSwitched() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.assignment.Optional || x.assignment.Exclusive
}

// lacksRecord reports whether the request begins a stream that would wait for its record at a version,
// since records can't be written.
func (x *exchange) lacksRecord(version string) bool {
	return x.beginsStream() && !x.StreamVersions.CanRecord() && x.StreamVersions.NeedsRecord(x.service, version)
}

// mayFallBack reports whether a stream may begin at a version that needs no record in place of the
// target. The old versions serve until Closing, which the holder can't write either while records can't
// be written.
func (x *exchange) mayFallBack(assignment rollout.Assignment) bool {
	other := x.StreamVersions.DefaultVersion(x.service)
	return other != "" && other != assignment.Only && !slices.Contains(assignment.Except, other) &&
		x.Balancer.AvailableRunners(x.service, other) > 0
}

// supersedeRecord begins the record of a version if it needs one. A record of another version, whose
// runner has sent no event, needs one that replaces it, unless the store can't have taken it.
func (x *exchange) supersedeRecord(version string) {
	isOther := x.record.Number > 0 && x.record.Version != version
	if isOther && x.StreamVersions.Withdraw(x.record.Record) {
		x.record, isOther = versionRecord{}, false
	}
	if isOther || x.record.Number == 0 && x.StreamVersions.NeedsRecord(x.service, version) {
		x.beginRecord(version)
	}
}

// awaitRecordOnce waits for the record for RecordTimeout, and reports whether the store holds it.
func (x *exchange) awaitRecordOnce(a *attempt) (recorded bool, err error) {
	x.restartSilence(a)
	timer := x.Clock.NewTimer(x.options.RecordTimeout)
	defer timer.Stop()
	select {
	case <-x.record.recorded:
		return true, nil
	case <-a.ctx.Done():
		return false, context.Cause(a.ctx)
	case <-timer.Chan():
		return false, nil
	}
}

// mayBeginAtDefault reports whether the stream can begin at another version, which needs no record.
func (x *exchange) mayBeginAtDefault(version string) bool {
	other := x.StreamVersions.DefaultVersion(x.service)
	return other != "" && other != version && x.mayUse(other) && x.Balancer.AvailableRunners(x.service, other) > 0
}

// restartSilence counts the silence of a runner from now on: it has sent an event.
func (x *exchange) restartSilence(a *attempt) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	a.lastData = x.Clock.Now()
}

func (x *exchange) isRecorded() bool {
	select {
	case <-x.record.recorded:
		return true
	default:
		return false
	}
}

// rememberVersion keeps the version of a stream whose first event is forwarded, so that this daemon
// can resume it without the store.
func (x *exchange) rememberVersion(a *attempt) {
	if x.beginsStream() && !x.headWritten {
		x.StreamVersions.Remember(x.stream, a.choice.Runner.Version)
	}
}
