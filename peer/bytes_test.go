package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// reportingHandler is a Handler that only publishes loads, leaving VMs and demands.
type reportingHandler struct {
	loads   []BackendLoad
	leaving []Leaving
	demands []Demand
}

func (r *reportingHandler) Digest() Digest {
	return Digest{Loads: r.loads, Leaving: r.leaving, Demands: r.demands}
}
func (r *reportingHandler) Merge(Digest)                    {}
func (r *reportingHandler) Configuration() ([]byte, uint64) { return nil, 0 }
func (r *reportingHandler) Install([]byte, uint64) error    { return nil }
func (r *reportingHandler) Answer(context.Context, string) (Answer, error) {
	return Answer{Header: http.Header{}}, nil
}

// zone is a set of meshes on loopback, all in one zone. The benchmark drives their
// rounds.
type zone struct {
	random    *rand.Rand
	common    telemetry.Common
	meshes    []*Mesh
	reporters []*reportingHandler
	runners   int
	stop      context.CancelFunc
}

func newZone(b *testing.B, daemons, runners int) *zone {
	z := &zone{random: rand.New(rand.NewPCG(1, 1)), runners: runners, common: telemetry.NewCommon()}
	z.common.Clock = clock.NewFake(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
	ctx, stop := context.WithCancel(context.Background())
	z.stop = stop
	var vms []hosting.VM
	for i := range runners {
		vms = append(vms, hosting.VM{Name: fmt.Sprint("runner-deep-south-a-", i), Role: hosting.RoleRunner})
	}
	for i := range daemons {
		identity := Identity{
			Daemon: fmt.Sprint("entry-deep-south-a-", i), Zone: "deep-south-a", Region: "deep-south",
			Incarnation: fmt.Sprintf("%026d", i),
		}
		reporter := &reportingHandler{}
		mesh := New(z.common, DefaultOptions(identity, "127.0.0.1:0", uint64(i)), timeline.NewClock(z.common), reporter)
		qt.Assert(b, mesh.Listen(), qt.IsNil)
		z.meshes = append(z.meshes, mesh)
		z.reporters = append(z.reporters, reporter)
		vms = append(vms, hosting.VM{
			Name: identity.Daemon, Role: hosting.RoleEntry, Zone: identity.Zone, Region: identity.Region,
			PeerAddress: mesh.Address(),
		})
		go mesh.serve(ctx)
	}
	for _, mesh := range z.meshes {
		mesh.SetVMs(vms)
	}
	return z
}

// step changes the loads and demands and carries out one round of every daemon.
func (z *zone) step(ctx context.Context) {
	z.common.Clock.(interface{ Advance(time.Duration) }).Advance(z.meshes[0].options.Interval)
	for i, mesh := range z.meshes {
		z.reporters[i].loads = nil
		for runner := i; runner < z.runners; runner += len(z.meshes) {
			z.reporters[i].loads = append(z.reporters[i].loads, BackendLoad{
				Backend: fmt.Sprint("runner-deep-south-a-", runner),
				Running: z.random.IntN(16), Queued: z.random.IntN(4), QueuedTokens: z.random.IntN(8000),
				PrefillRate: z.random.IntN(20_000),
			})
		}
		z.reporters[i].demands = nil
		for plan := range 5 {
			demand := Demand{Plan: fmt.Sprint("plan-", plan), Rate: 4 * z.random.Float64()}
			z.reporters[i].demands = append(z.reporters[i].demands, demand)
		}
		mesh.Publish()
	}
	for _, mesh := range z.meshes {
		for _, peer := range mesh.core.Round(z.common.Clock.Now()) {
			mesh.exchangeWith(ctx, peer)
		}
	}
}

// push delivers the urgent notices until none is left.
func (z *zone) push(ctx context.Context) {
	for pushed := true; pushed; {
		pushed = false
		for _, mesh := range z.meshes {
			if len(mesh.pushRequests.Drain(1)) == 0 {
				continue
			}
			pushed = true
			for _, peer := range mesh.core.PushTargets(z.common.Clock.Now()) {
				mesh.sendNoticesTo(ctx, peer)
			}
		}
	}
}

// BenchmarkWaveBytes reports the bytes that each daemon sends to spread the leaving
// notices of all runners of a zone, when one daemon learns of them first.
func BenchmarkWaveBytes(b *testing.B) {
	for _, daemons := range []int{7, 28, 56} {
		b.Run(fmt.Sprintf("Daemons=%d/Runners=107", daemons), func(b *testing.B) {
			var total int64
			for b.Loop() {
				z := newZone(b, daemons, 107)
				z.step(context.Background())
				sent := metrics.GetOrRegisterCounter(CounterSent, z.common.Metrics)
				before := sent.Count()
				for i := range 107 {
					leaving := Leaving{VM: fmt.Sprint("runner-deep-south-a-", i), Deadline: z.common.Clock.Now()}
					z.reporters[0].leaving = append(z.reporters[0].leaving, leaving)
				}
				z.meshes[0].Publish()
				z.push(context.Background())
				total += sent.Count() - before
				z.stop()
			}
			b.ReportMetric(float64(total)/float64(b.N*daemons), "B/daemon")
		})
	}
}

// BenchmarkExchangeBytes reports the bytes that each daemon of a zone sends in the
// exchanges while the load of every runner and the demand for five plans change in
// every round.
func BenchmarkExchangeBytes(b *testing.B) {
	for _, size := range []struct{ daemons, runners int }{
		{7, 24}, {7, 53}, {7, 107}, {14, 107}, {28, 24}, {28, 53}, {28, 107}, {28, 214}, {56, 107},
	} {
		b.Run(fmt.Sprintf("Daemons=%d/Runners=%d", size.daemons, size.runners), func(b *testing.B) {
			z := newZone(b, size.daemons, size.runners)
			defer z.stop()
			ctx := context.Background()
			for range 20 {
				z.step(ctx)
			}
			sent := metrics.GetOrRegisterCounter(CounterSent, z.common.Metrics)
			before, steps := sent.Count(), 0
			for b.Loop() {
				z.step(ctx)
				steps++
			}
			perRound := float64(sent.Count()-before) / float64(steps*size.daemons)
			b.ReportMetric(perRound, "B/exchange")
			b.ReportMetric(perRound/z.meshes[0].options.Interval.Seconds(), "B/s/daemon")
		})
	}
}
