package claimlog

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// outageThreshold is the number of consecutive failures of one record after
// which new claims are refused immediately. One is enough when the log has not
// responded within the append timeout.
const outageThreshold = 2

// runAppender batches claims and releases and appends one record at a time.
func (l *Ledger) runAppender(ctx context.Context) {
	for {
		var batch []*pendingClaim
		select {
		case waiting := <-l.claims.Values():
			batch = append(batch, waiting)
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		if wait := l.pacer.wait(l.Clock.Now()); wait > 0 {
			if clock.Sleep(ctx, l.Clock, wait) != nil {
				return
			}
		}
		batch = append(batch, l.claims.Drain(l.options.MaxBatch-len(batch))...)
		if record, found := l.buildRecord(batch); found {
			l.send(ctx, record)
		}
	}
}

// buildRecord returns a record of the claims that callers still wait for and
// the releases that are pending. It returns false when there are none.
func (l *Ledger) buildRecord(batch []*pendingClaim) (claim.Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := claim.Record{
		Daemon: l.options.Daemon, Incarnation: l.options.Incarnation, Sequence: l.nextNumber,
	}
	for _, waiting := range batch {
		if waiting.stage != stageQueued {
			continue
		}
		waiting.stage = stageSent
		waiting.claim.Number = record.Sequence + uint64(len(record.Claims))
		l.sent[waiting.claim.Number] = waiting
		record.Claims = append(record.Claims, claim.Entry{Key: waiting.claim.Key, Fingerprint: waiting.claim.Fingerprint})
	}
	for _, pending := range l.releases {
		if !pending.isAppended && len(record.Releases) < l.options.MaxBatch {
			record.Releases = append(record.Releases, pending.release)
		}
	}
	l.nextNumber = record.LastNumber() + 1
	return record, len(record.Claims)+len(record.Releases) > 0
}

// send appends a record.
//
// When the response is lost, the same record is appended again until the log
// accepts it or the reader sees it. The retry is idempotent because a state
// applies a sequence of one incarnation only once: of two copies the later one
// is ignored, even when it appears after the claims have been released. No
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
		if err == nil || l.hasApplied(record) {
			l.markAppended(record)
			return
		}
		failures++
		if !hadNoEffect(err) {
			isUncertain = true
			l.Count("Ledger.Uncertain", 1)
		}
		if !isUncertain && failures >= l.options.MaxAppendAttempts {
			l.refuse(record, err)
			return
		}
		if failures >= outageThreshold || l.Clock.Since(l.pacer.last) >= l.options.AppendTimeout {
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
	l.pacer.recordAppend(l.Clock.Now())
	_, err := l.log.Append(bounded, l.options.Stream, [][]byte{payload})
	var throttled *hosting.ThrottledError
	switch {
	case err == nil:
		l.pacer.speedUp()
	case errors.As(err, &throttled):
		l.Count("Ledger.Throttled", 1)
		l.pacer.slowDown()
	}
	return err
}

// hadNoEffect reports whether a failed append is certain not to have taken
// effect.
func hadNoEffect(err error) bool {
	var unavailable *hosting.UnavailableError
	var throttled *hosting.ThrottledError
	return errors.As(err, &unavailable) || errors.As(err, &throttled)
}

// hasApplied reports whether the reader has applied the record.
func (l *Ledger) hasApplied(record claim.Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.HighestNumber(record.Daemon, record.Incarnation) >= record.LastNumber()
}

// markAppended records that the log has accepted a record.
func (l *Ledger) markAppended(record claim.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals = 0
	l.setOutage(nil, time.Time{})
	isPending := false
	for _, release := range record.Releases {
		l.releases[release.Number].markAppended()
	}
	for _, pending := range l.releases {
		isPending = isPending || !pending.isAppended
	}
	if isPending {
		l.wakeAppender()
	}
	l.dropCompletedReleases()
}

// refuse fails the claims of a record that is not in the log. Its releases stay
// pending.
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

// refuseQueued fails the claims for which no append has been attempted.
func (l *Ledger) refuseQueued(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setOutage(cause, time.Time{})
	for _, waiting := range l.claims.Drain(l.options.QueueCapacity) {
		if waiting.stage == stageQueued {
			l.Count("Ledger.Refused", 1)
			waiting.settle(result{err: &UnavailableError{Key: waiting.claim.Key, Cause: cause}})
		}
	}
}

// setOutage records why claims are refused without an append, and when the next
// claim may try the log again. A nil cause ends the outage. It is called with mu
// held.
func (l *Ledger) setOutage(cause error, until time.Time) {
	switch {
	case cause != nil && l.outage == nil:
		l.Log.Info("Refusing claims after failed appends", "Stream", l.options.Stream, "Cause", cause)
	case cause == nil && l.outage != nil:
		l.Log.Info("Accepting claims again after a successful append", "Stream", l.options.Stream)
	}
	l.outage, l.outageUntil = cause, until
}
