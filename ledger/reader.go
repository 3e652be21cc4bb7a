package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// reader is the state of the reading goroutine.
type reader struct {
	ledger *Ledger
	// end is the end of the stream as of the first answer of the log.
	end      uint64
	isEnd    bool
	isReady  bool
	failures int
}

// runReader folds the stream until ctx ends.
func (l *Ledger) runReader(ctx context.Context) {
	r := &reader{ledger: l}
	for ctx.Err() == nil {
		if err := r.readOnce(ctx); err != nil {
			r.failures++
			l.Count("Ledger.ReadFailures", 1)
			if clock.Sleep(ctx, l.Clock, l.options.backoff(r.failures)) != nil {
				return
			}
			continue
		}
		r.failures = 0
	}
}

func (r *reader) readOnce(ctx context.Context) error {
	l := r.ledger
	wait := time.Duration(0)
	if r.isReady {
		wait = l.options.ReadWait
	}
	bounded, cancel := l.withTimeout(ctx, wait+l.options.ReadTimeout)
	defer cancel()
	l.Count("Ledger.Reads", 1)
	batch, err := l.log.Read(bounded, l.options.Stream, l.next(), l.options.ReadLimit, wait)
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		l.restart(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	if !r.isEnd {
		r.end, r.isEnd = batch.Next, true
	}
	if err := l.fold(batch.Records); err != nil {
		return err
	}
	r.checkReady()
	return nil
}

// checkReady ends the first reading of the stream.
func (r *reader) checkReady() {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.isReady || l.book.Next() < r.end {
		return
	}
	r.isReady = true
	if l.missingUntil.IsZero() {
		l.missing = nil
	}
	close(l.ready)
	l.Log.Info("Claim stream has been read", "Stream", l.options.Stream, "Offset", l.book.Next(), "Keys", l.book.Keys())
}

func (l *Ledger) next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Next()
}

// fold folds records and answers the own claims among them.
func (l *Ledger) fold(records []hosting.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		judgements, err := l.book.Fold(record)
		var invalid *claim.RecordError
		if errors.As(err, &invalid) {
			l.Count("Ledger.InvalidRecords", 1)
			continue
		}
		if err != nil {
			return err
		}
		for _, judgement := range judgements {
			if l.isOurs(judgement.Claim) {
				l.answer(judgement)
			}
		}
	}
	l.dropFolded()
	l.dropMissed()
	return nil
}

// answer settles an own claim. A claim that nobody waits for any more is
// released if it has won. A claim that is not in sent was answered before
// and is left alone: its holder may be writing.
func (l *Ledger) answer(judgement claim.Judgement) {
	number := judgement.Claim.Number
	waiting, found := l.sent[number]
	if !found {
		return
	}
	delete(l.sent, number)
	waiting.claim = judgement.Claim
	switch {
	case waiting.stage == stageAbandoned && judgement.Won:
		l.addOwed(judgement.Claim)
	case waiting.stage == stageAbandoned:
	case judgement.Err != nil:
		waiting.settle(result{err: judgement.Err})
	case judgement.Won:
		l.Count("Ledger.Wins", 1)
		waiting.settle(result{verdict: Verdict{Won: true, Claim: judgement.Claim}})
	default:
		waiting.settle(l.lost(waiting.claim.Key, waiting.claim.Fingerprint, judgement.Winner))
	}
}

// restart begins a new book at the oldest record that the log keeps.
//
// Records that are a lifetime old decide nothing, so that a log which keeps
// records for longer than that loses nothing that matters. When the removed
// records may be younger, the ledger claims nothing until it has watched the
// stream for a lifetime; by then every claim that it has missed is over.
func (l *Ledger) restart(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lifetime := l.options.Book.Lifetime
	from, lastRead, now := l.book.Next(), l.book.Now(), l.Clock.Now()
	l.book = claim.NewBook(l.options.Book, first)
	l.abandonSent(&HistoryError{From: from, First: first})
	isCovered := l.options.Retention >= lifetime
	if !lastRead.IsZero() {
		isCovered = isCovered && now.Sub(lastRead) >= lifetime
	}
	if isCovered {
		return
	}
	l.missing = &NotReadyError{Cause: &HistoryError{From: from, First: first}}
	l.missingUntil = now.Add(lifetime + lifetime/historyMarginShare)
	l.Log.Info("Claims are refused", "Stream", l.options.Stream, "Cause", l.missing, "Until", l.missingUntil)
}

// historyMarginShare is the share of a lifetime that is added to it for the
// difference between the rates of the log's clock and of the daemon's.
const historyMarginShare = 100

// abandonSent gives up the wait for all sent claims, since their records may
// be among those that were removed. It is called with mu held.
func (l *Ledger) abandonSent(cause error) {
	for _, waiting := range l.sent {
		if waiting.stage == stageSent {
			// The stage must stay stageAbandoned for answer to release it.
			waiting.result = result{err: &UncertainError{Claim: waiting.claim, Cause: cause}}
			waiting.stage = stageAbandoned
			close(waiting.settled)
		}
	}
}

// dropMissed forgets the abandoned claims whose records were removed unread:
// a later record of this process has been folded, so that a copy of theirs
// would be ignored. It is called with mu held.
func (l *Ledger) dropMissed() {
	highest := l.book.Highest(l.options.Daemon, l.options.Incarnation)
	for number, waiting := range l.sent {
		if number <= highest && waiting.stage == stageAbandoned {
			delete(l.sent, number)
		}
	}
}
