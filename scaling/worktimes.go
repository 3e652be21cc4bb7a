package scaling

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minWorkWeight is the weight of one request in the average of its kind once many are known.
	minWorkWeight = 0.1
	// maxWorkKinds bounds the averages that are kept.
	maxWorkKinds = 512
	// minServiceWeight is the weight of one request in the average of its service once many are known.
	minServiceWeight = 0.01
)

// workMean is a moving average in seconds.
type workMean struct {
	mean  float64
	count int
}

func (m *workMean) add(taken time.Duration, minWeight float64) {
	m.count++
	m.mean += (taken.Seconds() - m.mean) * max(1/float64(m.count), minWeight)
}

// workTimes holds the moving average of the time for which a runner is occupied with a request, for each
// kind of requests, of the kinds that were observed last.
type workTimes struct {
	byKind *simplelru.LRU[kind, *workMean]
	// byService holds the average over all requests of a service, for kinds that are not known.
	byService map[string]*workMean
}

func newWorkTimes() workTimes {
	// The only failure of NewLRU is a size below 1.
	byKind, _ := simplelru.NewLRU[kind, *workMean](maxWorkKinds, nil)
	return workTimes{byKind: byKind, byService: make(map[string]*workMean)}
}

func (w workTimes) add(request Request, taken time.Duration) {
	taken = min(max(taken, 0), maxWork)
	known, found := w.byKind.Get(request.kind())
	if !found {
		known = &workMean{}
		w.byKind.Add(request.kind(), known)
	}
	known.add(taken, minWorkWeight)
	service := w.byService[request.Service]
	if service == nil {
		service = &workMean{}
		w.byService[request.Service] = service
	}
	service.add(taken, minServiceWeight)
}

// expected returns the expected work of a request in milliseconds, or false if no request of its service
// was observed.
func (w workTimes) expected(request Request) (uint64, bool) {
	known, found := w.byKind.Peek(request.kind())
	if !found {
		known = w.byService[request.Service]
	}
	if known == nil {
		return 0, false
	}
	const perSecond = 1000
	return uint64(known.mean*perSecond + 0.5), true
}
