package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/prefix"
)

// Options are the settings of a View.
type Options struct {
	// Daemon is the name of the daemon in the digests that it sends to its peers.
	Daemon string
	// Zone is the availability zone of the daemon.
	Zone string
	// Speed is the performance model of the runners.
	Speed Speed
	// ZoneDelay is the network round-trip time to a runner of another zone.
	ZoneDelay time.Duration
	// MaxBlocks bounds the prompt blocks that are tracked in the runners' caches.
	MaxBlocks int
	// OwnGain and PeerGain weight the deviations of this daemon's calls and of its
	// peers' calls in flight at a runner from the means. Own calls count more than
	// once, since they are known exactly and the peers balance likewise. The peers'
	// calls count less, since their number is stale and the same for all daemons.
	OwnGain, PeerGain float64
	// RateTimeConstant is the time constant of the measured rates.
	RateTimeConstant time.Duration
}

// DefaultOptions returns the settings for a daemon in zone.
func DefaultOptions(zone string) Options {
	return Options{
		Zone:             zone,
		Speed:            DefaultSpeed(),
		ZoneDelay:        3 * time.Millisecond,
		MaxBlocks:        32_768,
		OwnGain:          4,
		PeerGain:         0.5,
		RateTimeConstant: 4 * time.Second,
	}
}

// ServiceOptions returns the settings for the plain services that a daemon in zone
// sends calls to. A server answers up to parallel concurrent calls within the
// duration response and slows down in proportion above that. A step of the performance
// model is the whole response, so BetweenTokens of a call is its target for the whole
// response.
//
// Only own calls distinguish the servers: without prefixes, daemons that counted
// their peers' calls would have no reason to choose different servers.
func ServiceOptions(zone string, response time.Duration, parallel int) Options {
	options := DefaultOptions(zone)
	options.OwnGain = maxOwnGain
	options.PeerGain = 0
	options.Speed.Step = response
	options.Speed.FreeBatch = parallel
	options.Speed.StepPerStream = response / time.Duration(parallel)
	return options
}

// maxOwnGain is above any number of daemons, so that own calls count once for each
// daemon.
const maxOwnGain = 1000

// View is one daemon's view of the runners: its own calls in flight, those of its
// peers as of their last digests, and the prompt blocks that the runners cache. It is
// not safe for concurrent use. Decisions do not allocate memory.
type View struct {
	options Options
	// slots holds the runners. A free slot has a runner without a name.
	slots []slot
	// index maps a runner's name to its slot.
	index   map[string]int
	holders *prefix.Holders
	// peers holds the last digest of each peer.
	peers map[string]*peerLoad
	// priorities holds the distinct priorities seen so far, sorted.
	priorities []int
	// completionRate is the decayed rate of ended calls, in calls per second.
	completionRate float64
	// lastRetryTime is the latest time at which a refused caller was told to retry.
	lastRetryTime time.Time
	// lastDecay is when the rates were last decayed.
	lastDecay time.Time
	// rotation is a counter for the decisions that take runners in rotation.
	rotation uint64

	// depths is scratch space of one decision: the number of cached blocks by slot.
	depths []int32
	// costs is scratch space of one decision: the cost by slot.
	costs []float64
	// ownMean and peerMean are the means of own and of peers' calls in flight over
	// the runners that are allowed for the decision.
	ownMean, peerMean float64
	// meanStep is the time between tokens in seconds at mean load.
	meanStep float64
}

// slot is the state of one runner.
type slot struct {
	runner Runner
	// distance is the distance of the runner from the daemon on the circle of
	// runners, from 0 to 1.
	distance float64
	// generation is incremented when the runner of the slot changes.
	generation uint32
	// hash identifies the runner in rendezvous hashing.
	hash uint64
	own  load
	// peers is the sum over the peers' digests.
	peers load
}

// load is the load that one or several daemons put on a runner.
type load struct {
	// inFlight is the number of calls in flight.
	inFlight float64
	// queuedTokens is the number of tokens to prefill for calls without a first
	// token.
	queuedTokens float64
	// prefillRate is the decayed rate of tokens to prefill, in tokens per second.
	prefillRate float64
}

// add adds other, multiplied by sign, to l.
func (l *load) add(other load, sign float64) {
	l.inFlight += sign * other.inFlight
	l.queuedTokens += sign * other.queuedTokens
	l.prefillRate += sign * other.prefillRate
}

// NewView returns a View without runners.
func NewView(options Options) *View {
	return &View{
		options: options,
		index:   make(map[string]int),
		holders: prefix.NewHolders(options.MaxBlocks),
		peers:   make(map[string]*peerLoad),
	}
}

// SetRunners replaces the runners and keeps the state of those that remain.
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
	v.updateDistances()
}

// SetLeaving marks a runner as leaving, so that it gets no new calls.
func (v *View) SetLeaving(name string) {
	if at, known := v.index[name]; known {
		v.slots[at].runner.Leaving = true
	}
}

// Len returns the number of runners.
func (v *View) Len() int { return len(v.index) }

// Runner returns the runner that a decision names.
func (v *View) Runner(decision Decision) Runner { return v.slots[decision.slot].runner }

// insert puts a runner into a free slot.
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

// decay decays the measured rates exponentially, at most once per tenth of the time
// constant.
func (v *View) decay(now time.Time) {
	passed := now.Sub(v.lastDecay)
	if passed < v.options.RateTimeConstant/10 {
		return
	}
	v.lastDecay = now
	factor := math.Exp(-passed.Seconds() / v.options.RateTimeConstant.Seconds())
	v.completionRate *= factor
	for i := range v.slots {
		v.slots[i].own.prefillRate *= factor
	}
}

// addPriority adds a priority to those seen so far.
func (v *View) addPriority(priority int) {
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
