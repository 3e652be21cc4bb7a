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
func (c *Claimer) runAppender(ctx context.Context) {
	for {
		var batch []*pendingClaim
		select {
		case waiting := <-c.claims.Values():
			batch = append(batch, waiting)
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		if wait := c.pacer.wait(c.Clock.Now()); wait > 0 {
			if clock.Sleep(ctx, c.Clock, wait) != nil {
				return
			}
		}
		batch = append(batch, c.claims.Drain(c.options.MaxBatch-len(batch))...)
		if record, found := c.buildRecord(batch); found {
			c.send(ctx, record)
		}
	}
}

// buildRecord returns a record of the claims that callers still wait for and
// the releases that are pending. It returns false when there are none.
func (c *Claimer) buildRecord(batch []*pendingClaim) (claim.Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := claim.Record{
		Daemon: c.options.Daemon, Incarnation: c.options.Incarnation, Sequence: c.nextNumber,
	}
	for _, waiting := range batch {
		if waiting.stage != stageQueued {
			continue
		}
		waiting.stage = stageSent
		waiting.claim.Number = record.Sequence + uint64(len(record.Claims))
		c.sent[waiting.claim.Number] = waiting
		record.Claims = append(record.Claims, claim.Entry{Key: waiting.claim.Key, Fingerprint: waiting.claim.Fingerprint})
	}
	for _, pending := range c.releases {
		if !pending.isAppended && len(record.Releases) < c.options.MaxBatch {
			record.Releases = append(record.Releases, pending.release)
		}
	}
	c.nextNumber = record.LastNumber() + 1
	return record, len(record.Claims)+len(record.Releases) > 0
}

// send appends a record.
//
// When the response is lost, the same record is appended again until the log
// accepts it or the reader sees it. The retry is idempotent because a state
// applies a sequence of one incarnation only once: of two copies the later one
// is ignored, even when it appears after the claims have been released. No
// other record is sent meanwhile, so that sequences stay in log order.
func (c *Claimer) send(ctx context.Context, record claim.Record) {
	payload, err := record.Encode()
	if err != nil {
		c.refuse(record, err)
		return
	}
	isUncertain := false
	for failures := 0; ; {
		err := c.append(ctx, payload)
		if err == nil || c.hasApplied(record) {
			c.markAppended(record)
			return
		}
		failures++
		if !hadNoEffect(err) {
			isUncertain = true
			c.Count("Ledger.Uncertain", 1)
		}
		if !isUncertain && failures >= c.options.MaxAppendAttempts {
			c.refuse(record, err)
			return
		}
		if failures >= outageThreshold || c.Clock.Since(c.pacer.last) >= c.options.AppendTimeout {
			c.refuseQueued(err)
		}
		if clock.Sleep(ctx, c.Clock, c.options.backoff(failures)) != nil {
			return
		}
	}
}

func (c *Claimer) append(ctx context.Context, payload []byte) error {
	c.Count("Ledger.Appends", 1)
	bounded, cancel := c.withTimeout(ctx, c.options.AppendTimeout)
	defer cancel()
	c.pacer.recordAppend(c.Clock.Now())
	_, err := c.log.Append(bounded, c.options.Stream, [][]byte{payload})
	var throttled *hosting.ThrottledError
	switch {
	case err == nil:
		c.pacer.speedUp()
	case errors.As(err, &throttled):
		c.Count("Ledger.Throttled", 1)
		c.pacer.slowDown()
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
func (c *Claimer) hasApplied(record claim.Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.HighestNumber(record.Daemon, record.Incarnation) >= record.LastNumber()
}

// markAppended records that the log has accepted a record.
func (c *Claimer) markAppended(record claim.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals = 0
	c.setOutage(nil, time.Time{})
	isPending := false
	for _, release := range record.Releases {
		c.releases[release.Number].markAppended()
	}
	for _, pending := range c.releases {
		isPending = isPending || !pending.isAppended
	}
	if isPending {
		c.wakeAppender()
	}
	c.dropCompletedReleases()
}

// refuse fails the claims of a record that is not in the log. Its releases stay
// pending.
func (c *Claimer) refuse(record claim.Record, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Count("Ledger.Refused", int64(len(record.Claims)))
	for i := range record.Claims {
		number := record.Claim(i).Number
		waiting, found := c.sent[number]
		delete(c.sent, number)
		if found && waiting.stage == stageSent {
			waiting.settle(outcome{err: &UnavailableError{Key: waiting.claim.Key, Cause: cause}})
		}
	}
	c.refusals++
	c.setOutage(cause, c.Clock.Now().Add(c.options.backoff(c.refusals)))
}

// refuseQueued fails the claims for which no append has been attempted.
func (c *Claimer) refuseQueued(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setOutage(cause, time.Time{})
	for _, waiting := range c.claims.Drain(c.options.QueueCapacity) {
		if waiting.stage == stageQueued {
			c.Count("Ledger.Refused", 1)
			waiting.settle(outcome{err: &UnavailableError{Key: waiting.claim.Key, Cause: cause}})
		}
	}
}

// setOutage records why claims are refused without an append, and when the next
// claim may try the log again. A nil cause ends the outage. It is called with mu
// held.
func (c *Claimer) setOutage(cause error, until time.Time) {
	switch {
	case cause != nil && c.outage == nil:
		c.Log.Info("Refusing claims after failed appends", "Stream", c.options.Stream, "Cause", cause)
	case cause == nil && c.outage != nil:
		c.Log.Info("Accepting claims again after a successful append", "Stream", c.options.Stream)
	}
	c.outage, c.outageUntil = cause, until
}
