package admission

import (
	"math/bits"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxSize bounds the sizes of prompts that are told apart, by powers of two.
const maxSize = 23

// minResponseWeight is the weight of one response in the average of its kind once many are known.
const minResponseWeight = 0.1

// maxResponseKinds bounds the averages that are kept for a service.
const maxResponseKinds = 256

// responseKind tells apart the requests whose times to the response differ: plain requests of different
// routes all have the size 0.
type responseKind struct {
	route string
	size  int
}

func responseKindOf(request Request) responseKind {
	return responseKind{route: request.Route, size: min(bits.Len(uint(max(request.Tokens, 0))), maxSize)}
}

// responseMean is a moving average in seconds.
type responseMean struct {
	mean  float64
	count int
}

// responseTimes holds the moving average of the time to a response for each kind of requests, of the kinds
// that were observed last.
type responseTimes struct {
	byKind *simplelru.LRU[responseKind, *responseMean]
}

func newResponseTimes() responseTimes {
	// The only failure of NewLRU is a size below 1.
	byKind, _ := simplelru.NewLRU[responseKind, *responseMean](maxResponseKinds, nil)
	return responseTimes{byKind: byKind}
}

func (r responseTimes) add(request Request, taken time.Duration) {
	kind := responseKindOf(request)
	known, found := r.byKind.Get(kind)
	if !found {
		known = &responseMean{}
		r.byKind.Add(kind, known)
	}
	known.count++
	known.mean += (taken.Seconds() - known.mean) * max(1/float64(known.count), minResponseWeight)
}

// expected returns zero if no response to a request of that kind is known.
func (r responseTimes) expected(request Request) time.Duration {
	known, found := r.byKind.Peek(responseKindOf(request))
	if !found {
		return 0
	}
	return seconds(known.mean)
}
