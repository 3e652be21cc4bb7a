package logsink_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/logsink"
)

// written runs a sink over some lines and returns what it wrote.
func written(c *qt.C, options logsink.Options, write func(logr.Logger)) []map[string]any {
	var output bytes.Buffer
	sink := logsink.New(options, clock.Real(), &output)
	write(logr.FromSlogHandler(sink.Handler()))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sink.Run(ctx)
	var lines []map[string]any
	decoder := json.NewDecoder(&output)
	for {
		var line map[string]any
		err := decoder.Decode(&line)
		if err == io.EOF {
			return lines
		}
		c.Assert(err, qt.IsNil)
		lines = append(lines, line)
	}
}

func TestLinesAreObjectsWithNamesInPascalCase(t *testing.T) {
	c := qt.New(t)
	lines := written(c, logsink.DefaultOptions(), func(log logr.Logger) {
		log.Info("RequestEnded", "Request", "r1", "Status", 200)
	})
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0]["Event"], qt.Equals, "RequestEnded")
	c.Check(lines[0]["Request"], qt.Equals, "r1")
	c.Check(lines[0]["Status"], qt.Equals, 200.0)
	for _, name := range []string{"Time", "Level", "Steady"} {
		c.Check(lines[0][name], qt.IsNotNil, qt.Commentf("%s", name))
	}
}

func TestOrdinaryLinesAreThinnedFirst(t *testing.T) {
	c := qt.New(t)
	lines := written(c, logsink.Options{Capacity: 1000, Ordinary: 5, Telling: 50}, func(log logr.Logger) {
		for range 40 {
			log.V(1).Info("Ordinary")
			log.Info("Telling")
		}
	})
	counts := map[any]int{}
	for _, line := range lines {
		counts[line["Event"]]++
	}
	c.Check(counts, qt.DeepEquals, map[any]int{"Ordinary": 5, "Telling": 40, "LinesDropped": 1})
	c.Check(lines[len(lines)-1]["Lines"], qt.Equals, 35.0)
}

// stuck is a reader that never reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(content []byte) (int, error) {
	<-s.release
	return len(content), nil
}

func TestReaderThatNeverReadsStopsNobody(t *testing.T) {
	c := qt.New(t)
	output := stuck{release: make(chan struct{})}
	sink := logsink.New(logsink.Options{Capacity: 10, Ordinary: 1e6, Telling: 1e6}, clock.Real(), output)
	log := logr.FromSlogHandler(sink.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	go sink.Run(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10000 {
			log.Info("RequestEnded", "Request", "r1")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		c.Fatal("a writer of lines waits for their reader")
	}
	cancel()
	close(output.release)
	<-sink.Done()
}

// broken is an output that fails for a while.
type broken struct {
	mutex  sync.Mutex
	fails  bool
	output bytes.Buffer
	// failed gets a value at each write that fails.
	failed chan struct{}
}

func (b *broken) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.fails {
		b.failed <- struct{}{}
		return 0, io.ErrClosedPipe
	}
	return b.output.Write(content)
}

func (b *broken) set(fails bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fails = fails
}

// TestOutputThatFailsForAWhileGetsLaterLines also shows that the gap is told.
func TestOutputThatFailsForAWhileGetsLaterLines(t *testing.T) {
	c := qt.New(t)
	output := &broken{fails: true, failed: make(chan struct{}, 1)}
	sink := logsink.New(logsink.DefaultOptions(), clock.Real(), output)
	log := logr.FromSlogHandler(sink.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	go sink.Run(ctx)
	log.Info("Lost")
	<-output.failed
	output.set(false)
	log.Info("Written")
	cancel()
	<-sink.Done()
	written := output.output.String()
	c.Check(strings.Contains(written, "Written"), qt.IsTrue, qt.Commentf("%s", written))
	c.Check(strings.Contains(written, "LinesDropped"), qt.IsTrue, qt.Commentf("%s", written))
	c.Check(strings.Contains(written, `"Lost"`), qt.IsFalse)
}

// BenchmarkRequest tells what the line of one request costs.
func BenchmarkRequest(b *testing.B) {
	sink := logsink.New(logsink.Options{Capacity: 1 << 20, Ordinary: 1 << 30, Telling: 1 << 30}, clock.Real(), io.Discard)
	log := logr.FromSlogHandler(sink.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	go sink.Run(ctx)
	for b.Loop() {
		log.Info("RequestEnded", "Request", "5f0c", "Outcome", "Answered", "Status", 200, "Route", "r", "Customer", "c",
			"Service", "s", "Attempts", 1, "Milliseconds", 12, "Runner", "i-1", "Cost", 1.5, "NextCost", 2.5)
	}
	cancel()
	<-sink.Done()
}
