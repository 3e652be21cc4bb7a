package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/prefix"
)

// Options are the settings of a View.
type Options struct {
	// Daemon identifies the daemon among its peers, by the name that they
	// see in its digests.
	Daemon string
	// Zone is the availability zone of the daemon.
	Zone string
	// Speed turns load into time.
	Speed Speed
	// ZoneDelay is the network time, there and back, to a runner of another
	// zone.
	ZoneDelay time.Duration
	// KnownBlocks bounds the prompt blocks whose holders are remembered.
	KnownBlocks int
	// OwnGain and PeerGain are how much of a runner's deviation from the mean
	// calls in flight counts. Own calls are known exactly and the peers do
	// alike, so they count more than once. The peers' calls are old, and all
	// daemons see the same ones, so they count less.
	OwnGain, PeerGain float64
	// RateTime is the time constant of the measured rates.
	RateTime time.Duration
}

// DefaultOptions returns the settings for a daemon in zone.
func DefaultOptions(zone string) Options {
	return Options{
		Zone:        zone,
		Speed:       DefaultSpeed(),
		ZoneDelay:   3 * time.Millisecond,
		KnownBlocks: 32_768,
		OwnGain:     4,
		PeerGain:    0.5,
		RateTime:    4 * time.Second,
	}
}

// ServiceOptions returns the settings for the plain services that a daemon in
// zone sends calls to. A server answers parallel calls in the time response
// and slows down in proportion above that. The step of the speed is the whole
// response, so a call's target between tokens is its target for the response.
//
// Only own calls tell the servers apart: without prefixes the daemons have no
// other reason to choose different servers.
func ServiceOptions(zone string, response time.Duration, parallel int) Options {
	options := DefaultOptions(zone)
	options.OwnGain = maxOwnGain
	options.PeerGain = 0
	options.Speed.Step = response
	options.Speed.FreeBatch = parallel
	options.Speed.StepPerStream = response / time.Duration(parallel)
	return options
}

// maxOwnGain lets own calls count once for each daemon.
const maxOwnGain = 1000

// View is what one daemon knows of the runners: exactly what it has in flight
// itself, what its peers had when they made their digests, and which prompt
// blocks the runners cache. It is not safe for use by several goroutines.
// Decisions do not allocate.
type View struct {
	options Options
	// slots hold the runners. A free slot has an empty name.
	slots []slot
	// index maps a runner's name to its slot.
	index   map[string]int
	holders *prefix.Holders
	// peers holds the last digest of each peer.
	peers map[string]*peerLoad
	// priorities holds the priorities seen so far, in order.
	priorities []int
	// drained is the decayed rate of ended calls, in calls a second.
	drained float64
	// turnAt is when the last refused caller was asked to come back.
	turnAt time.Time
	// decayed is when the rates were last decayed.
	decayed time.Time
	// turn counts the decisions of the policies that go round.
	turn uint64

	// depths is scratch space of one decision: the cached blocks by slot.
	depths []int32
	// costs is scratch space of one decision: the cost by slot.
	costs []float64
	// ownMean and peerMean are the mean calls in flight at the runners that
	// are allowed for the decision.
	ownMean, peerMean float64
	// meanStep is the time between tokens in seconds at mean load.
	meanStep float64
}

// slot is what the view knows of one runner.
type slot struct {
	runner Runner
	// distance is how far the runner is from the daemon's own part of the
	// runners, from 0 to 1.
	distance float64
	// generation rises when the slot gets another runner.
	generation uint32
	// hash identifies the runner in rendezvous hashing.
	hash uint64
	own  load
	// peers is the sum of the peers' digests.
	peers load
}

// load is the load that one daemon or several put on a runner.
type load struct {
	// streams are the calls in flight.
	streams float64
	// queued are the prompt tokens of calls without a first token.
	queued float64
	// rate is the decayed rate of tokens to prefill, in tokens a second.
	rate float64
}

// add adds other to l.
func (l *load) add(other load, sign float64) {
	l.streams += sign * other.streams
	l.queued += sign * other.queued
	l.rate += sign * other.rate
}

// NewView returns a View without runners.
func NewView(options Options) *View {
	return &View{
		options: options,
		index:   make(map[string]int),
		holders: prefix.NewHolders(options.KnownBlocks),
		peers:   make(map[string]*peerLoad),
	}
}

// SetRunners replaces the runners. What is known of a runner that stays is
// kept.
func (v *View) SetRunners(runners []Runner) {
	present := make(map[string]bool, len(runners))
	for _, runner := range runners {
		present[runner.Name] = true
	}
	for name, at := range v.index {
		if !present[name] {
			v.remove(name, at)
		}
	}
	for _, runner := range runners {
		if at, known := v.index[runner.Name]; known {
			v.slots[at].runner = runner
			continue
		}
		v.insert(runner)
	}
	v.arrange()
}

// SetLeaving marks a runner so that it gets no new work.
func (v *View) SetLeaving(name string) {
	if at, known := v.index[name]; known {
		v.slots[at].runner.Leaving = true
	}
}

// Len returns the number of runners.
func (v *View) Len() int { return len(v.index) }

// Runner returns the runner that a decision names.
func (v *View) Runner(decision Decision) Runner { return v.slots[decision.slot].runner }

// insert puts runner into a free slot.
func (v *View) insert(runner Runner) {
	at := len(v.slots)
	for i := range v.slots {
		if v.slots[i].runner.Name == "" {
			at = i
			break
		}
	}
	if at == len(v.slots) {
		v.slots = append(v.slots, slot{})
		v.depths = append(v.depths, 0)
		v.costs = append(v.costs, 0)
	}
	v.slots[at] = slot{
		runner:     runner,
		generation: v.slots[at].generation + 1,
		hash:       xxhash.Sum64String(runner.Name),
	}
	v.index[runner.Name] = at
}

// remove frees the slot of a runner.
func (v *View) remove(name string, at int) {
	delete(v.index, name)
	v.slots[at] = slot{generation: v.slots[at].generation + 1}
	v.holders.Forget(at)
	for _, peer := range v.peers {
		peer.forget(at)
	}
}

// decay lets the measured rates fall. It does nothing more often than every
// tenth of the time constant.
func (v *View) decay(now time.Time) {
	passed := now.Sub(v.decayed)
	if passed < v.options.RateTime/10 {
		return
	}
	v.decayed = now
	factor := math.Exp(-passed.Seconds() / v.options.RateTime.Seconds())
	v.drained *= factor
	for i := range v.slots {
		v.slots[i].own.rate *= factor
	}
}

// notePriority remembers that calls of priority exist.
func (v *View) notePriority(priority int) {
	at := 0
	for at < len(v.priorities) && v.priorities[at] < priority {
		at++
	}
	if at < len(v.priorities) && v.priorities[at] == priority {
		return
	}
	v.priorities = append(v.priorities, 0)
	copy(v.priorities[at+1:], v.priorities[at:])
	v.priorities[at] = priority
}
