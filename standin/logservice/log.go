// Package logservice is a stand-in for the platform's append-only log service.
package logservice

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

const (
	defaultReadLimit = 1000
	maxReadWait      = 30 * time.Second
)

// Parameters describe the log service.
type Parameters struct {
	// RetainedRecords is the number of records that a stream retains.
	RetainedRecords int
	// Retention is how long a stream retains a record; 0 sets no limit.
	Retention time.Duration
	// AppendsPerSecond limits the rate of appends over all streams; 0 sets no
	// limit.
	AppendsPerSecond float64
}

// DefaultParameters returns the parameters of a log service that accepts 500
// appends per second.
func DefaultParameters() Parameters {
	return Parameters{RetainedRecords: 100_000, AppendsPerSecond: 500}
}

// Log is the simulated log service. It is an http.Handler.
type Log struct {
	chi.Router
	clock      clock.Clock
	parameters Parameters
	limiter    *rate.Limiter
	faults     standin.Faults[Faults]

	mu      sync.Mutex
	streams map[string]*stream
}

// New returns a log service without records.
func New(c clock.Clock, parameters Parameters) *Log {
	l := &Log{
		Router:     chi.NewRouter(),
		clock:      c,
		parameters: parameters,
		limiter:    newLimiter(parameters.AppendsPerSecond),
		streams:    map[string]*stream{},
	}
	l.Post("/streams/{Stream}/records", l.append)
	l.Get("/streams/{Stream}/records", l.read)
	l.Handle("/control/faults", &l.faults)
	return l
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// SetFaults replaces the active faults.
func (l *Log) SetFaults(faults Faults) { l.faults.Set(faults) }

func (l *Log) stream(name string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.streams[name]
	if found == nil {
		found = newStream(l.parameters)
		l.streams[name] = found
	}
	return found
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r, OutageAppends) {
		return
	}
	if !l.limiter.AllowN(l.clock.Now(), 1) {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	var request hostinghttp.AppendRequest
	if !standin.Decode(w, r, &request) {
		return
	}
	if len(request.Payloads) == 0 {
		http.Error(w, "Payloads is empty", http.StatusBadRequest)
		return
	}
	offset := l.stream(chi.URLParam(r, "Stream")).append(request.Payloads, l.clock.Now())
	if l.takeLostResponse() {
		standin.Abort()
	}
	standin.Respond(w, http.StatusOK, hostinghttp.AppendResponse{Offset: offset})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r, OutageReads) {
		return
	}
	limit := int(min(standin.QueryUint(r, "Limit"), defaultReadLimit))
	if limit == 0 {
		limit = defaultReadLimit
	}
	from := standin.QueryUint(r, "From")
	found := l.stream(chi.URLParam(r, "Stream"))
	l.awaitRecord(r, found, from, min(standin.QueryDuration(r, "Wait"), maxReadWait))
	batch, retained := found.read(from, limit, l.clock.Now())
	if !retained {
		standin.Respond(w, http.StatusGone, hostinghttp.TrimmedResponse{First: batch.First})
		return
	}
	standin.Respond(w, http.StatusOK, batch)
}

// awaitRecord waits until the stream has a record at offset from, at most for the
// given time.
func (l *Log) awaitRecord(r *http.Request, found *stream, from uint64, wait time.Duration) {
	appended := found.nextAppend(from)
	if appended == nil || wait <= 0 {
		return
	}
	timer := l.clock.NewTimer(wait)
	defer timer.Stop()
	for appended != nil {
		select {
		case <-appended:
			appended = found.nextAppend(from)
		case <-timer.Chan():
			return
		case <-r.Context().Done():
			return
		}
	}
}
