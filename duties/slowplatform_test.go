package duties_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/dutylease"
)

const (
	// longLease is the platform's lease time. A process may act for a third of it.
	longLease = 3 * time.Second
	// silentTimeout bounds the calls to a silent platform. It is shorter than the lease of
	// a process, so that a second call begins under the same lease.
	silentTimeout = 800 * time.Millisecond
)

// silentPlatform answers no call. It records which processes have called.
type silentPlatform struct {
	name  string
	calls *callers
}

// callers holds the names of the processes that have called, in order.
type callers struct {
	mutex sync.Mutex
	names []string
}

func (p silentPlatform) ReportUsage(ctx context.Context, _ uint64, _ dutylease.Report) error {
	return p.call(ctx, "/usage")
}

func (p silentPlatform) Order(ctx context.Context, _ uint64, _ dutylease.ScaleOrder) error {
	return p.call(ctx, "/scale")
}

func (p silentPlatform) call(ctx context.Context, path string) error {
	p.calls.mutex.Lock()
	p.calls.names = append(p.calls.names, p.name)
	p.calls.mutex.Unlock()
	<-ctx.Done()
	return &dutylease.UncertainError{Call: path, Cause: ctx.Err()}
}

// busyScaler always has an order due.
type busyScaler struct{ idleScaler }

func (busyScaler) Due(time.Time) []dutylease.ScaleOrder {
	return []dutylease.ScaleOrder{{Service: "desk"}}
}

// TestLeaseIsKeptWhileThePlatformIsSilent guards against a lease that its holder loses to
// another daemon because it waits for answers of the platform instead of renewing it.
func TestLeaseIsKeptWhileThePlatformIsSilent(t *testing.T) {
	t.Parallel()
	r := newFixture(t)
	calls := &callers{}
	a := r.startAt("a", silentPlatform{"a", calls}, busyScaler{})
	b := r.startAt("b", silentPlatform{"b", calls}, busyScaler{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go count(ctx, a.usage, b.usage)
	time.Sleep(3 * longLease)
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	r.c.Assert(len(calls.names) > 5, qt.IsTrue, qt.Commentf("%v", calls.names))
	for _, name := range calls.names {
		r.c.Assert(name, qt.Equals, calls.names[0], qt.Commentf("%v", calls.names))
	}
}
