package outage

import (
	"math"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// logClaims agrees on a key by the first claim on the log.
type logClaims struct {
	*world
	log   []hosting.Record
	books [daemonCount]*claim.Book
	// sequences are the next numbers of the daemons.
	sequences [daemonCount]uint64
	// judged has the judgements on own claims by number.
	judged [daemonCount]map[uint64]claim.Judgement
}

func newLogClaims(w *world) design {
	d := &logClaims{world: w}
	options := claim.Options{Lifetime: lifetime, MaxClaims: math.MaxInt}
	for i := range d.books {
		d.books[i] = claim.NewBook(options, 0)
		d.sequences[i] = 1
		d.judged[i] = make(map[uint64]claim.Judgement)
	}
	return d
}

func (d *logClaims) maintain() {}

// serve relays what the book knows, refuses what cannot be claimed, and
// claims the rest, in one append for each daemon.
func (d *logClaims) serve(calls []*served) {
	var waiting [daemonCount][]*served
	for _, s := range calls {
		d.fold(s.daemon)
		winner, found := d.books[s.daemon].Look(s.key, d.now())
		switch {
		case found:
			d.relay(s, s.daemon, winner)
		case !d.reachesLog(s.daemon):
			d.apply(s, request.GivenUp)
		default:
			waiting[s.daemon] = append(waiting[s.daemon], s)
		}
	}
	var first [daemonCount]uint64
	for daemon, claiming := range waiting {
		first[daemon] = d.append(daemon, claiming)
	}
	for daemon, claiming := range waiting {
		d.fold(daemon)
		for i, s := range claiming {
			d.end(s, d.judged[daemon][first[daemon]+uint64(i)])
		}
		clear(d.judged[daemon])
	}
}

// append appends the claims of one daemon and returns the first number.
func (d *logClaims) append(daemon int, claiming []*served) uint64 {
	first := d.sequences[daemon]
	if len(claiming) == 0 {
		return first
	}
	record := claim.Record{Daemon: nameOf(daemon), Incarnation: incarnation, Sequence: first}
	for _, s := range claiming {
		record.Claims = append(record.Claims, claim.Entry{Key: s.key})
	}
	payload, err := record.Encode()
	if err != nil {
		d.result.Misapplied++
	}
	d.log = append(d.log, hosting.Record{Offset: uint64(len(d.log)), Payload: payload, Time: d.now()})
	d.sequences[daemon] = record.Last() + 1
	d.result.Appends++
	d.result.Claims += len(claiming)
	return first
}

func (d *logClaims) end(s *served, judged claim.Judgement) {
	switch {
	case judged.Won:
		d.run(s, s.daemon)
	case judged.Err != nil:
		d.apply(s, request.GivenUp)
	default:
		d.relay(s, s.daemon, judged.Winner)
	}
}

// fold brings the book of a daemon up to the end of the log if it can.
func (d *logClaims) fold(daemon int) {
	if !d.reachesLog(daemon) {
		return
	}
	book := d.books[daemon]
	for book.Next() < uint64(len(d.log)) {
		judgements, err := book.Fold(d.log[book.Next()])
		if err != nil {
			d.result.Misapplied++
		}
		for _, judged := range judgements {
			if judged.Claim.Daemon == nameOf(daemon) {
				d.judged[daemon][judged.Claim.Number] = judged
			}
		}
	}
}
