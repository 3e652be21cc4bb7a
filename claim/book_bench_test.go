package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// BenchmarkFold folds claims of new keys, ten to a record, and reports the
// bytes of a claim in the log and in memory.
func BenchmarkFold(b *testing.B) {
	const gathered = 10
	book := claim.NewBook(claim.Options{Lifetime: time.Hour, MaxClaims: b.N * gathered}, 0)
	payloads := make([][]byte, b.N)
	for i := range payloads {
		record := claim.Record{Daemon: "mn-central-1-entry-a", Incarnation: "01JC9Z", Sequence: uint64(i*gathered + 1)}
		for j := range gathered {
			record.Claims = append(record.Claims, claim.Entry{Key: claim.NewKey("c", "s", fmt.Sprint(i, j)), Fingerprint: uint64(i)})
		}
		payloads[i], _ = record.Encode()
	}
	before := heap()
	b.ResetTimer()
	for i, payload := range payloads {
		_, _ = book.Fold(hosting.Record{Offset: uint64(i), Payload: payload, Time: time.Unix(1000, int64(i))})
	}
	b.StopTimer()
	b.ReportMetric(float64(len(payloads[0]))/gathered, "logB/claim")
	b.ReportMetric(float64(heap()-before)/float64(b.N*gathered), "memB/claim")
	runtime.KeepAlive(book)
	runtime.KeepAlive(payloads)
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
