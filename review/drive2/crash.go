package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/standin/loopback"
)

const (
	// modelRunners and deskRunners are the numbers of runners of the services of the site.
	modelRunners = 12
	deskRunners  = 4
	// crashedRunners is the number of runners of models that crash: a quarter, as on the days of the
	// site.
	crashedRunners = 3
	// crashAt is when they crash, and downTime how long they are down.
	crashAt  = 15 * time.Second
	downTime = 4 * time.Second
	// crashCaseTime is how long callers send.
	crashCaseTime = 60 * time.Second
	// sessions is the number of callers with a session at each daemon, and thinkTime the pause after
	// each of their requests.
	sessions  = 64
	thinkTime = 500 * time.Millisecond
	// crashParts is the number of parts of a prompt that the requests of a session share, and crashTokens
	// the number of tokens of each. The field then has 14 KB.
	crashParts  = 1250
	crashTokens = 4
	// deskCallers is the number of callers of the desk at each daemon, and deskPause the pause after each
	// of their requests.
	deskCallers = 3
	deskPause   = 200 * time.Millisecond
	// prefillTime is the time to the first event of a stream, and eventGap that between two events.
	prefillTime = 500 * time.Millisecond
	eventGap    = 20 * time.Millisecond
	events      = 5
	// deskTime is how long a desk request runs, and deskTimeout the timeout of its route and deadline
	// of its callers.
	deskTime    = 15 * time.Millisecond
	deskTimeout = time.Second
	// lateAfter is how long after the timeout a request must have its final answer.
	lateAfter = 500 * time.Millisecond
	// patience is how long a caller waits before it is recorded as not answered.
	patience = 10 * time.Second
	// maxLate and lateShare are the bounds of the rule.
	maxLate   = 8
	lateShare = 0.25
)

// crashRunner is a runner that can crash.
type crashRunner struct {
	id, service string
	server      *http.Server
}

// runnerSet holds the runners.
type runnerSet struct {
	store *standin.Store
	// runs counts the requests that runners have begun to run.
	runs  atomic.Int64
	begun int
}

// start starts a runner of a service as a new incarnation.
func (s *runnerSet) start(service string) (*crashRunner, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	r := &crashRunner{id: fmt.Sprintf("i-%d", s.begun), service: service}
	s.begun++
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { s.serve(r, w, request) })}
	go func() { _ = r.server.Serve(listener) }()
	return r, s.store.PutRunner(standin.RunnerRecord{
		ID: r.id, Service: service, Address: listener.Addr().String(), Zone: "mnc-1", StartedAt: time.Now(),
	})
}

// serve answers a request as a sound runner.
func (s *runnerSet) serve(r *crashRunner, w http.ResponseWriter, request *http.Request) {
	w.Header().Set(standin.HeaderCallID, request.Header.Get(standin.HeaderCallID))
	if request.Header.Get(standin.HeaderExpectedRunner) != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.runs.Add(1)
	w.Header().Set(standin.HeaderSignature, r.id+".signed")
	if r.service == "place-desk" {
		time.Sleep(deskTime)
		_, _ = io.WriteString(w, "confirmed")
		return
	}
	time.Sleep(prefillTime)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := range events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: note\n\n", event+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventGap)
	}
}

// deskCounts counts the desk requests in a phase.
type deskCounts struct{ sent, answered, overTimeout, late atomic.Int64 }

// crashCase is what the parts of the case share.
type crashCase struct {
	record  *record
	store   *standin.Store
	runners *runnerSet
	models  []*crashRunner
	daemons []*daemon
	// hasCrashed is true from the crash on.
	hasCrashed atomic.Bool
	// before and after count the desk requests sent before and after the crash.
	before, after deskCounts
	streams       callCounts
}

// playCrash sends two daemons prompts of many parts, and requests to another service. A quarter of the
// runners of models crash once. Without trouble none does.
func playCrash(r *record, folder string, hasTrouble bool) (isBroken bool, err error) {
	scratch, err := os.MkdirTemp("", "review-crash-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	store := standin.NewStore()
	defer store.Close()
	cloud, err := standin.NewCloud()
	if err != nil {
		return false, err
	}
	defer cloud.Close()
	if err := publish(store, folder); err != nil {
		return false, err
	}
	c := &crashCase{record: r, store: store, runners: &runnerSet{store: store}}
	if err := c.startRunners(); err != nil {
		return false, err
	}
	c.daemons, err = startPair(scratch, store, cloud)
	for _, d := range c.daemons {
		defer d.kill()
	}
	if err != nil {
		return false, err
	}
	if err := c.play(hasTrouble); err != nil {
		return false, err
	}
	return c.isBroken(), nil
}

func (c *crashCase) startRunners() error {
	for range modelRunners {
		started, err := c.runners.start("lesson-models")
		if err != nil {
			return err
		}
		c.models = append(c.models, started)
	}
	for range deskRunners {
		if _, err := c.runners.start("place-desk"); err != nil {
			return err
		}
	}
	return nil
}

// play lets the callers send and the runners crash.
func (c *crashCase) play(hasTrouble bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashCaseTime)
	defer cancel()
	var tasks sync.WaitGroup
	for i, d := range c.daemons {
		for n := range sessions {
			tasks.Go(func() { sendSession(ctx, d, fmt.Sprintf("%x%02x", i, n), &c.streams) })
		}
		for n := range deskCallers {
			tasks.Go(func() { c.sendDesks(ctx, d, fmt.Sprintf("desk-%d-%d", i, n)) })
		}
	}
	tasks.Go(func() { c.report(ctx) })
	var err error
	if hasTrouble {
		time.Sleep(crashAt)
		err = c.crash()
	}
	tasks.Wait()
	return err
}

// crash ends runners at once, and starts others in their place after a time.
func (c *crashCase) crash() error {
	for _, m := range c.models[:crashedRunners] {
		c.store.DeleteRunner(m.id)
		_ = m.server.Close()
	}
	c.hasCrashed.Store(true)
	c.record.add("%d of %d runners of models have crashed", crashedRunners, modelRunners)
	time.Sleep(downTime)
	for range crashedRunners {
		if _, err := c.runners.start("lesson-models"); err != nil {
			return err
		}
	}
	c.record.add("%d runners have started in their place", crashedRunners)
	return nil
}

// reportPeriod is the time between two lines on the streams.
const reportPeriod = 5 * time.Second

// report records how many streams are answered until ctx ends.
func (c *crashCase) report(ctx context.Context) {
	for last := int64(0); ctx.Err() == nil; time.Sleep(reportPeriod) {
		answered := c.streams.answered.Load()
		c.record.add("streams: %d sent, %d answered whole, %d of them since the line before", c.streams.sent.Load(), answered, answered-last)
		last = answered
	}
}

// isBroken records the counts and evaluates the rule.
func (c *crashCase) isBroken() bool {
	c.record.add("streams: %d sent, %d answered whole; runners ran %d requests", c.streams.sent.Load(), c.streams.answered.Load(), c.runners.runs.Load())
	c.before.add(c.record, "before the crash")
	c.after.add(c.record, "after the crash")
	late, over := c.before.late.Load()+c.after.late.Load(), c.before.overTimeout.Load()+c.after.overTimeout.Load()
	return late >= maxLate && float64(late) > lateShare*float64(over)
}

// add records the counts of a phase.
func (c *deskCounts) add(r *record, phase string) {
	r.add("%s: %d desk requests sent, %d answered 200, %d without a final answer at the timeout, %d of them without one 0.5 s later",
		phase, c.sent.Load(), c.answered.Load(), c.overTimeout.Load(), c.late.Load())
}

// sendDesks sends desk requests one after the other.
func (c *crashCase) sendDesks(ctx context.Context, d *daemon, caller string) {
	for n := 0; ctx.Err() == nil; n++ {
		counts := &c.before
		if c.hasCrashed.Load() {
			counts = &c.after
		}
		sendDesk(c.record, d, fmt.Sprintf("%s-%d", caller, n), counts)
		time.Sleep(deskPause)
	}
}

// sendSession sends the requests of a session, whose prompts share many parts.
func sendSession(ctx context.Context, d *daemon, caller string, counts *callCounts) {
	var shared strings.Builder
	for part := range crashParts {
		fmt.Fprintf(&shared, "%s%05x:%d,", caller, part, crashTokens)
	}
	client := http.Client{Timeout: patience, Transport: &http.Transport{}}
	for n := 0; ctx.Err() == nil; n++ {
		counts.sent.Add(1)
		p := prompt{id: fmt.Sprintf("%s%08x", caller, n), shared: shared.String(), sharedTokens: crashParts * crashTokens}
		if sendPrompt(ctx, &client, d, p) {
			counts.answered.Add(1)
		}
		time.Sleep(thinkTime)
	}
}

// sendDesk sends one desk request on a connection of its own.
func sendDesk(r *record, d *daemon, id string, counts *deskCounts) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/confirm/x", strings.NewReader("confirm"))
	if err != nil {
		return
	}
	request.Host = promptHost
	request.Header.Set(standin.HeaderCallID, id)
	request.Header.Set(standin.HeaderAPIKey, promptKey)
	request.Header.Set(standin.HeaderDeadline, fmt.Sprint(deskTimeout.Milliseconds()))
	counts.sent.Add(1)
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	response, err := client.Do(request)
	status := 0
	if err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	took := time.Since(began)
	if status == http.StatusOK {
		counts.answered.Add(1)
	}
	if took > deskTimeout {
		counts.overTimeout.Add(1)
	}
	if took > deskTimeout+lateAfter {
		counts.late.Add(1)
		r.add("%s at %s: status %d after %d ms", id, d.name, status, took.Milliseconds())
	}
}
