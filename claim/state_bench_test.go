package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// BenchmarkApply applies claims of new keys, ten to a record, and reports the
// bytes of a claim in the log and in memory.
func BenchmarkApply(b *testing.B) {
	const claimsPerRecord = 10
	state := claim.NewState(claim.Options{Lifetime: time.Hour, MaxClaims: b.N * claimsPerRecord}, 0)
	payloads := make([][]byte, b.N)
	for i := range payloads {
		record := claim.Record{Daemon: "mn-central-1-entry-a", Incarnation: "01JC9Z", Sequence: uint64(i*claimsPerRecord + 1)}
		for j := range claimsPerRecord {
			record.Claims = append(record.Claims, claim.Entry{Key: claim.NewKey("c", "s", fmt.Sprint(i, j)), Fingerprint: uint64(i)})
		}
		payloads[i], _ = record.Encode()
	}
	before := heapBytes()
	b.ResetTimer()
	for i, payload := range payloads {
		_, _ = state.Apply(hosting.Record{Offset: uint64(i), Payload: payload, Time: time.Unix(1000, int64(i))})
	}
	b.StopTimer()
	b.ReportMetric(float64(len(payloads[0]))/claimsPerRecord, "logB/claim")
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N*claimsPerRecord), "memB/claim")
	runtime.KeepAlive(state)
	runtime.KeepAlive(payloads)
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
