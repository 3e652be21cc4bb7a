package entry_test

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// limitWindow is the length of the windows in which the platform counts the requests at a runner
// that names a limit.
const limitWindow = 4 * time.Second

// allowedInWindow returns how many requests a runner may get in any window.
func allowedInWindow(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds() + 5) }

// limitedRunner is a runner that names a limit in its answers while it has one.
type limitedRunner struct {
	*standin.Runner
	mutex sync.Mutex
	limit float64
	// namedAt is when it first named the limit that it has.
	namedAt time.Time
}

// addLimitedRunner starts a runner that answers like the route and names no limit yet.
func (s *testSystem) addLimitedRunner(path string) *limitedRunner {
	l := &limitedRunner{}
	l.Runner = s.addRunner(func(standin.ReceivedRequest) standin.Behaviour {
		b := answerOn(path)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.limit > 0 {
			b.Limits = []string{strconv.FormatFloat(l.limit, 'g', -1, 64)}
			if l.namedAt.IsZero() {
				l.namedAt = time.Now()
			}
		}
		return b
	})
	return l
}

// answerOn is how a sound runner answers a request on a route.
func answerOn(path string) standin.Behaviour {
	if path == talkRoute {
		return standin.Behaviour{Events: 4, Gap: 30 * time.Millisecond}
	}
	return standin.Behaviour{Body: "answer", Gap: 30 * time.Millisecond}
}

// name sets the limit; zero ends it.
func (l *limitedRunner) name(limit float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limit, l.namedAt = limit, time.Time{}
}

func (l *limitedRunner) firstNamedAt() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.namedAt
}

// receivedSince returns the number of requests received since a time.
func (l *limitedRunner) receivedSince(since time.Time) int {
	count := 0
	for _, request := range l.ReceivedRequests() {
		if request.ReceivedAt.After(since) {
			count++
		}
	}
	return count
}

// mostInWindow returns the most requests in a window that begins after a time.
func (l *limitedRunner) mostInWindow(since time.Time) int {
	requests := l.ReceivedRequests()
	most, first := 0, 0
	for last, request := range requests {
		if !request.ReceivedAt.After(since) {
			first = last + 1
			continue
		}
		for request.ReceivedAt.Sub(requests[first].ReceivedAt) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// checkLimit checks that no window after the daemons know of the limit has too many requests.
func (s *testSystem) checkLimit(l *limitedRunner, perSecond float64) {
	s.c.Helper()
	named := l.firstNamedAt()
	s.c.Assert(named.IsZero(), qt.IsFalse)
	most := l.mostInWindow(named.Add(exchangeTime))
	s.c.Logf("%d requests in %v at a limit of %g a second", most, limitWindow, perSecond)
	s.c.Check(most <= allowedInWindow(perSecond), qt.IsTrue,
		qt.Commentf("%d requests in %v, %d allowed by a limit of %g a second", most, limitWindow, allowedInWindow(perSecond), perSecond))
}

// burst is the result of requests that were sent at a steady rate.
type burst struct {
	mutex    sync.Mutex
	statuses map[int]int
	// slowestRefusal is the longest time in which a request was refused.
	slowestRefusal time.Duration
	// withoutRetryAfter counts the refusals that don't say when to come back.
	withoutRetryAfter int
}

// sendSteadily sends requests to all daemons in turn for a time.
func (s *testSystem) sendSteadily(path string, length, interval time.Duration) *burst {
	b := &burst{statuses: make(map[int]int)}
	daemons := append([]*daemon(nil), s.daemons...)
	var sent sync.WaitGroup
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		request := s.newRequest(daemons[i%len(daemons)], path+nextAttempt(), s.keys[0])
		sent.Go(func() { b.record(s, request) })
		time.Sleep(interval)
	}
	sent.Wait()
	return b
}

// total returns the number of requests.
func (b *burst) total() int {
	total := 0
	for _, count := range b.statuses {
		total += count
	}
	return total
}

func (b *burst) record(s *testSystem, request *http.Request) {
	began := time.Now()
	got := s.do(request)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.statuses[got.status]++
	if got.status == http.StatusServiceUnavailable {
		b.slowestRefusal = max(b.slowestRefusal, time.Since(began))
		if got.retryAfter <= 0 {
			b.withoutRetryAfter++
		}
	}
}
