package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// outageFailures is after how many failures in a row of one record new
// claims are refused at once. One is enough when the log has not answered
// within the append timeout.
const outageFailures = 2

// runAppender gathers claims and releases into appends, one at a time.
func (l *Ledger) runAppender(ctx context.Context) {
	for {
		var gathered []*pending
		select {
		case waiting := <-l.claims.Values():
			gathered = append(gathered, waiting)
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		if wait := l.pace.wait(l.Clock.Now()); wait > 0 {
			if clock.Sleep(ctx, l.Clock, wait) != nil {
				return
			}
		}
		gathered = append(gathered, l.claims.Drain(l.options.MaxGathered-len(gathered))...)
		if record, found := l.assemble(gathered); found {
			l.send(ctx, record)
		}
	}
}

// assemble makes a record of the claims that are still waited for and the
// releases that are owed. It returns false when there are none.
func (l *Ledger) assemble(gathered []*pending) (claim.Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := claim.Record{
		Daemon: l.options.Daemon, Incarnation: l.options.Incarnation, Sequence: l.nextNumber,
	}
	for _, waiting := range gathered {
		if waiting.stage != stageQueued {
			continue
		}
		waiting.stage = stageSent
		waiting.claim.Number = record.Sequence + uint64(len(record.Claims))
		l.sent[waiting.claim.Number] = waiting
		record.Claims = append(record.Claims, claim.Entry{Key: waiting.claim.Key, Fingerprint: waiting.claim.Fingerprint})
	}
	for _, owed := range l.owed {
		if !owed.isAppended && len(record.Releases) < l.options.MaxGathered {
			record.Releases = append(record.Releases, owed.release)
		}
	}
	l.nextNumber = record.Last() + 1
	return record, len(record.Claims)+len(record.Releases) > 0
}

// send appends a record.
//
// When an answer is lost, the same record is appended again until the log
// takes it or the reader sees it. That is safe because the fold takes a
// sequence of one incarnation once only: of two copies the later one is
// ignored, also when it shows up after the claims have been released. No
// other record is sent meanwhile, so that sequences stay in log order.
func (l *Ledger) send(ctx context.Context, record claim.Record) {
	payload, err := record.Encode()
	if err != nil {
		l.refuse(record, err)
		return
	}
	isUncertain := false
	for failures := 0; ; {
		err := l.append(ctx, payload)
		if err == nil || l.hasFolded(record) {
			l.finish(record)
			return
		}
		failures++
		if !hadNoEffect(err) {
			isUncertain = true
			l.Count("Ledger.Uncertain", 1)
		}
		if !isUncertain && failures >= l.options.AppendTries {
			l.refuse(record, err)
			return
		}
		if failures >= outageFailures || l.Clock.Since(l.pace.last) >= l.options.AppendTimeout {
			l.refuseQueued(err)
		}
		if clock.Sleep(ctx, l.Clock, l.options.backoff(failures)) != nil {
			return
		}
	}
}

func (l *Ledger) append(ctx context.Context, payload []byte) error {
	l.Count("Ledger.Appends", 1)
	bounded, cancel := l.withTimeout(ctx, l.options.AppendTimeout)
	defer cancel()
	l.pace.begin(l.Clock.Now())
	_, err := l.log.Append(bounded, l.options.Stream, [][]byte{payload})
	var throttled *hosting.ThrottledError
	switch {
	case err == nil:
		l.pace.faster()
	case errors.As(err, &throttled):
		l.Count("Ledger.Throttled", 1)
		l.pace.slower()
	}
	return err
}

// hadNoEffect reports whether a failed append has certainly not taken
// effect.
func hadNoEffect(err error) bool {
	var unavailable *hosting.UnavailableError
	var throttled *hosting.ThrottledError
	return errors.As(err, &unavailable) || errors.As(err, &throttled)
}

// hasFolded reports whether the reader has seen the record.
func (l *Ledger) hasFolded(record claim.Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Highest(record.Daemon, record.Incarnation) >= record.Last()
}

// finish notes that the log has taken a record.
func (l *Ledger) finish(record claim.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals = 0
	l.setOutage(nil, time.Time{})
	isOwing := false
	for _, release := range record.Releases {
		l.owed[release.Number].finish()
	}
	for _, owed := range l.owed {
		isOwing = isOwing || !owed.isAppended
	}
	if isOwing {
		l.wakeAppender()
	}
	l.dropFolded()
}

// refuse answers the claims of a record that is not in the log. Its releases
// stay owed.
func (l *Ledger) refuse(record claim.Record, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Count("Ledger.Refused", int64(len(record.Claims)))
	for i := range record.Claims {
		number := record.Claim(i).Number
		waiting, found := l.sent[number]
		delete(l.sent, number)
		if found && waiting.stage == stageSent {
			waiting.settle(result{err: &UnavailableError{Key: waiting.claim.Key, Cause: cause}})
		}
	}
	l.refusals++
	l.setOutage(cause, l.Clock.Now().Add(l.options.backoff(l.refusals)))
}

// refuseQueued answers the claims that no append has been tried for.
func (l *Ledger) refuseQueued(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setOutage(cause, time.Time{})
	for _, waiting := range l.claims.Drain(l.options.RingCapacity) {
		if waiting.stage == stageQueued {
			l.Count("Ledger.Refused", 1)
			waiting.settle(result{err: &UnavailableError{Key: waiting.claim.Key, Cause: cause}})
		}
	}
}

// setOutage is called with mu held. A nil cause ends the outage.
func (l *Ledger) setOutage(cause error, until time.Time) {
	switch {
	case cause != nil && l.outage == nil:
		l.Log.Info("Claims are refused", "Stream", l.options.Stream, "Cause", cause)
	case cause == nil && l.outage != nil:
		l.Log.Info("Claims are appended again", "Stream", l.options.Stream)
	}
	l.outage, l.outageUntil = cause, until
}
