package runnerlimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Runner is a runner with a limit.
type Runner struct {
	// Hash identifies its incarnation at all daemons.
	Hash          uint64
	Service, Zone string
}

// Share is a part of a limit.
type Share struct {
	// PerSecond is the part of this daemon, or zero if it must not send.
	PerSecond float64
	// Senders is the number of daemons that share the limit.
	Senders int
	// Rank is the place of this daemon among them, from 0. It has no meaning if PerSecond is
	// zero.
	Rank int
}

// minSenders is the number of daemons that share a limit at least. Each may keep one request
// for later, so that within t seconds a runner gets at most t times its limit and one request
// for each sender. Every full request a second adds a sender.
const minSenders = 2

// Share returns this daemon's part of a runner's limit.
func (d *Daemons) Share(runner Runner, perSecond float64, now time.Time) Share {
	d.forget(now)
	group := d.participants(runner.Service, now)
	senders := min(group.size, minSenders+int(perSecond))
	place := d.place(group, runner)
	if !group.hasSelf || place >= senders {
		return Share{Senders: senders}
	}
	return Share{PerSecond: perSecond * group.heard / float64(senders), Senders: senders, Rank: place}
}

// place returns the number of participants that rank before this daemon at a runner.
func (d *Daemons) place(group participants, runner Runner) int {
	own, place := rank(d.self, runner), 0
	for _, p := range group.peers {
		if rank(p.daemon, runner) < own {
			place++
		}
	}
	return place
}

// rank orders daemons at a runner: those of its zone first, otherwise by rendezvous hashing.
// Lower ranks come first.
func rank(daemon Daemon, runner Runner) uint64 {
	const elsewhere = 1 << 63
	digest := xxhash.NewWithSeed(runner.Hash)
	_, _ = digest.WriteString(daemon.Name)
	hash := digest.Sum64() >> 1
	if daemon.Zone != runner.Zone {
		hash |= elsewhere
	}
	return hash
}

// Senders returns how many daemons take part in the limits of a service's runners.
func (d *Daemons) Senders(service string, now time.Time) int {
	return max(d.participants(service, now).size, 1)
}
