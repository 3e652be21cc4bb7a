package rollout

// maxCredit bounds how many requests to the target a process may be ahead of its share, and thus
// the burst after a time in which none could be sent. The credit of a small group is bounded at the
// beginning of each cycle only, since it is spent at the end.
const maxCredit = 2

// Exposure decides which requests of one daemon process go to the target in a trial. It knows
// the process's own counts only. Each route sends the same share of its requests, so that both
// versions are compared over the same moments and routes.
//
// Each route begins with a random credit between 0 and 1, so that the expected number of requests
// at the target is the share even with few requests for each daemon or many restarts. The slack of
// the bound covers the deviation.
type Exposure struct {
	share  float64
	random func() float64
	// routes holds what may go to the target by route.
	routes map[string]*routeCredit
	// Arrived counts the requests that have reached the service, and Started the attempts at
	// the target.
	Arrived, Started uint64
}

// routeCredit is what may go to the target on one route.
type routeCredit struct {
	// credit holds the requests that may go to the target within its share. Each request that
	// arrives adds to it, also between turns.
	credit float64
	// pace holds those that may go there within the part of the turn. Only requests of a turn add to
	// it. It begins like credit, so that few requests reach 1 in both at the same time.
	pace float64
	// turn is the number of the turn of the last request.
	turn int
}

// NewExposure returns an Exposure without any requests. The function returns random numbers in
// [0, 1).
func NewExposure(options Options, random func() float64) *Exposure {
	return &Exposure{share: options.trialShare(), random: random, routes: make(map[string]*routeCredit)}
}

// trialShare is the share of the requests that go to the target in a trial.
func (o Options) trialShare() float64 { return o.Safety * o.ExposureShare }

// Arrive counts a request that is not to be sent to the target.
func (e *Exposure) Arrive() { e.Arrived++ }

// MayStart counts a request that has reached the service at a turn, and reports whether it may be sent
// to the target. If so, it is counted as started.
func (e *Exposure) MayStart(route string, turn Turn) bool {
	e.Arrived++
	r := e.route(route)
	if turn.Part == 1 || turn.Number != r.turn {
		r.credit = min(r.credit, maxCredit-e.share)
	}
	r.turn = turn.Number
	r.credit += e.share
	r.pace = min(r.pace+turn.Part, maxCredit)
	if !turn.IsNow() || r.pace < 1 || r.credit < 1 || float64(e.Started) > e.share*float64(e.Arrived)+maxCredit-1 {
		return false
	}
	r.credit--
	r.pace--
	e.Started++
	return true
}

// Refuse takes back the arrival of a request that was refused.
func (e *Exposure) Refuse(route string) {
	if e.Arrived > 0 {
		e.Arrived--
		e.route(route).credit -= e.share
	}
}

// Force counts an attempt at the target that must be made there, such as one that resumes a
// stream of the target.
func (e *Exposure) Force(route string) {
	e.route(route).credit--
	e.Started++
}

// Release takes back a start for which there was no runner. The credit is not given back, so
// that requests don't accumulate until there is one.
func (e *Exposure) Release() {
	if e.Started > 0 {
		e.Started--
	}
}

// route returns what may go to the target on a route.
func (e *Exposure) route(name string) *routeCredit {
	if known, found := e.routes[name]; found {
		return known
	}
	if len(e.routes) >= MaxRoutes-1 {
		name = OtherRoutes
	}
	if e.routes[name] == nil {
		first := e.random()
		e.routes[name] = &routeCredit{credit: first, pace: first}
	}
	return e.routes[name]
}
