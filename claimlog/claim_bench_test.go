package claimlog_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/claimlog"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// BenchmarkClaim claims new keys from 64 callers for each processor on a log
// that responds immediately, and reports how many claims share an append.
func BenchmarkClaim(b *testing.B) {
	log := newFakeLog(clock.Real())
	options := claimlog.DefaultOptions()
	options.Daemon, options.Incarnation, options.ClaimOptions.MaxClaims = "one", "1", b.N+1
	common := telemetry.Common{Log: klog.Background(), Metrics: metrics.NewRegistry(), Clock: clock.Real(), Events: telemetry.Discard{}}
	claimer := claimlog.New(common, log, options)
	ctx, cancel := context.WithCancel(context.Background())
	go claimer.Run(ctx)
	<-claimer.Ready()

	var number, appends atomic.Int64
	go func() {
		for range log.attempts {
			appends.Add(1)
		}
	}()
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := claim.NewKey("c", "s", fmt.Sprint(number.Add(1)))
			if result, err := claimer.Claim(ctx, key, 1); err != nil || !result.Won {
				b.Errorf("%+v %v", result, err)
			}
		}
	})
	b.StopTimer()
	cancel()
	<-claimer.Done()
	close(log.attempts)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(appends.Load())/b.Elapsed().Seconds(), "appends/s")
}
