package versionlog_test

import (
	"context"
	"fmt"
	"net/http"
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
	// silentZones are the zones of which no process hears anything.
	silentZones []string
}

// process is one process with its log.
type process struct {
	*versionlog.Log
	stop func()
}

func newRig(t *testing.T) *rig {
	c := qt.New(t)
	r := &rig{c: c, store: standin.NewStore()}
	c.Cleanup(r.store.Close)
	return r
}

// Size implements versionlog.Group.
func (r *rig) Size() int { return 3 }

// Decides implements versionlog.Group.
func (r *rig) Decides(string) bool { return true }

// SilentZones implements versionlog.Group.
func (r *rig) SilentZones() []string { return r.silentZones }

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
	address, err := r.store.Listen(fmt.Sprintf("entry-%d", r.began))
	r.c.Assert(err, qt.IsNil)
	common := telemetry.NewCommon()
	common.Log = logr.Discard()
	o := optionsOf(fmt.Sprintf("entry-%d", r.began))
	o.Watch.IsFirstStart = r.began == 1
	client := &http.Client{Transport: &http.Transport{}}
	l := versionlog.New(common, versionlog.Dependencies{Store: platform.NewStore(address, client), Group: r}, o)
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	p := &process{Log: l, stop: func() {
		cancel()
		<-l.Done()
		client.CloseIdleConnections()
	}}
	r.c.Cleanup(p.stop)
	p.SetRunners(runnersOf(versions...))
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
