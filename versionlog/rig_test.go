package versionlog_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/versionlog"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreAnyFunction("net/http.(*http2clientConnReadLoop).run"))
}

// rig holds processes that share a store.
type rig struct {
	c     *qt.C
	store *standin.Store
	// began counts the processes.
	began int

	mutex sync.Mutex
	// processes holds the processes that run, and those that are silent; guarded by mutex.
	processes []*process
}

// process is one process with its log.
type process struct {
	*versionlog.Log
	name string
	stop func()
	// isSilent is true if no other process hears it, nor it any other one; guarded by the mutex of
	// the rig.
	isSilent bool
}

// group is the group of all processes as one of them sees it.
type group struct {
	rig  *rig
	self *process
}

func newRig(t *testing.T) *rig {
	c := qt.New(t)
	r := &rig{c: c, store: standin.NewStore()}
	c.Cleanup(r.store.Close)
	return r
}

// Size implements versionlog.Group.
func (g *group) Size() int { return 3 }

// Decides implements versionlog.Group.
func (g *group) Decides(string) bool { return true }

// ExchangeWithAll implements versionlog.Group.
func (g *group) ExchangeWithAll(context.Context, time.Duration) bool {
	g.rig.mutex.Lock()
	others := slices.Clone(g.rig.processes)
	isComplete := !slices.ContainsFunc(others, func(p *process) bool { return p.isSilent })
	g.rig.mutex.Unlock()
	for _, other := range others {
		if other != g.self && isComplete {
			g.self.ObservePeer(other.name, other.Report())
		}
	}
	return isComplete
}

// cutOff cuts a process off from the others, or ends that. They don't know it yet.
func (r *rig) cutOff(p *process, isSilent bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	p.isSilent = isSilent
}

// end ends a process as planned: the others know that.
func (r *rig) end(p *process) {
	p.stop()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.processes = slices.DeleteFunc(r.processes, func(other *process) bool { return other == p })
}

// takeStoreFrom lets all calls of a process to the store fail.
func (r *rig) takeStoreFrom(p *process) {
	r.store.SetFault(func(call standin.Call) standin.Fault {
		if call.Caller == p.name {
			return standin.FaultRefused
		}
		return standin.FaultNone
	})
}

// lifetime is that of a stream in these tests.
const lifetime = 600 * time.Millisecond

func optionsOf(process string) versionlog.Options {
	watch := streamversion.WatchOptions{Lifetime: lifetime, AbsenceDelay: 100 * time.Millisecond, RestoreDelay: 250 * time.Millisecond}
	o := versionlog.DefaultOptions(process, watch)
	o.Period, o.RuleMaxAge, o.RetryDelay, o.Timeout = 10*time.Millisecond, 50*time.Millisecond, 10*time.Millisecond, 100*time.Millisecond
	o.BatchLength, o.CleanupPeriod, o.HealthyWithin = 100*time.Millisecond, 100*time.Millisecond, 50*time.Millisecond
	return o
}

// start starts a process that sees a runner of each version. The first one begins the system.
func (r *rig) start(versions ...string) *process {
	r.began++
	p := &process{name: fmt.Sprintf("entry-%d", r.began)}
	address, err := r.store.Listen(p.name)
	r.c.Assert(err, qt.IsNil)
	common := telemetry.NewCommon()
	common.Log = logr.Discard()
	o := optionsOf(p.name)
	o.Watch.IsFirstStart = r.began == 1
	client := &http.Client{Transport: &http.Transport{}}
	p.Log = versionlog.New(common, versionlog.Dependencies{Store: platform.NewStore(address, client), Group: &group{rig: r, self: p}}, o)
	ctx, cancel := context.WithCancel(context.Background())
	go p.Run(ctx)
	p.stop = func() {
		cancel()
		<-p.Done()
		client.CloseIdleConnections()
	}
	r.c.Cleanup(p.stop)
	p.SetRunners(runnersOf(versions...))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.processes = append(r.processes, p)
	return p
}

func runnersOf(versions ...string) []inventory.Runner {
	var runners []inventory.Runner
	for i, version := range versions {
		runners = append(runners, inventory.Runner{ID: fmt.Sprint(i), Service: "desk", Version: version})
	}
	return runners
}

func (r *rig) eventually(what string, condition func() bool) {
	r.c.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	r.c.Fatalf("condition not met: %s", what)
}

// awaitDefault waits until a process knows the default version of the service.
func (r *rig) awaitDefault(p *process, version string) {
	r.c.Helper()
	r.eventually("default version "+version, func() bool { return p.DefaultVersion("desk") == version })
}

// record records that a version begins a stream and waits until the store holds that.
func (r *rig) record(p *process, stream streamversion.Stream, version string) {
	r.c.Helper()
	select {
	case <-p.Record(streamversion.Record{Stream: stream, Number: 1, Version: version}):
	case <-time.After(5 * time.Second):
		r.c.Fatalf("stream %d is not recorded", stream)
	}
}

func query(stream streamversion.Stream) streamversion.Query {
	return streamversion.Query{Service: "desk", Stream: stream, HasID: true}
}

// find returns the version of a stream, or why it is not known.
func (p *process) find(stream streamversion.Stream) string {
	return describe(p.Find(context.Background(), query(stream)))
}

func describe(found streamversion.Found, err error) string {
	if err != nil {
		return "unknown: " + string(err.(*streamversion.UnknownError).Reason)
	}
	return found.Version + " from " + string(found.Source)
}
