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

// written logs lines through a sink and returns the decoded output.
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

func TestLinesAreJSONWithPascalCaseKeys(t *testing.T) {
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

func TestDebugLinesAreDroppedFirst(t *testing.T) {
	c := qt.New(t)
	lines := written(c, logsink.Options{Capacity: 1000, MaxDebugLines: 5, MaxInfoLines: 50}, func(log logr.Logger) {
		for range 40 {
			log.V(1).Info("Debug")
			log.Info("Info")
		}
	})
	counts := map[any]int{}
	for _, line := range lines {
		counts[line["Event"]]++
	}
	c.Check(counts, qt.DeepEquals, map[any]int{"Debug": 5, "Info": 40, "LinesDropped": 1})
	c.Check(lines[len(lines)-1]["Lines"], qt.Equals, 35.0)
}

// Guards against the loss of the lines that decide what happened: a burst of other lines
// displaces them.
func TestReservedLinesAreNotDisplaced(t *testing.T) {
	c := qt.New(t)
	options := logsink.Options{Capacity: 1000, MaxDebugLines: 5, MaxInfoLines: 5, MaxReservedLines: 30}.WithReservedEvents("Decision")
	lines := written(c, options, func(log logr.Logger) {
		for range 40 {
			log.V(1).Info("Debug")
			log.Info("Info")
			log.Info("Decision")
		}
	})
	counts := map[any]int{}
	for _, line := range lines {
		counts[line["Event"]]++
	}
	c.Check(counts, qt.DeepEquals, map[any]int{"Debug": 5, "Info": 5, "Decision": 30, "LinesDropped": 1})
	c.Check(lines[len(lines)-1]["Lines"], qt.Equals, 80.0)
	c.Check(lines[len(lines)-1]["DebugLines"], qt.Equals, 35.0)
}

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (o blockedOutput) Write(content []byte) (int, error) {
	<-o.release
	return len(content), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	c := qt.New(t)
	output := blockedOutput{release: make(chan struct{})}
	sink := logsink.New(logsink.Options{Capacity: 10, MaxDebugLines: 1e6, MaxInfoLines: 1e6}, clock.Real(), output)
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
		c.Fatal("logging blocks while the output is blocked")
	}
	cancel()
	close(output.release)
	<-sink.Done()
}

// failingOutput is an output whose writes fail while fails is set.
type failingOutput struct {
	mutex  sync.Mutex
	fails  bool
	output bytes.Buffer
	// failed receives a value for each failed write.
	failed chan struct{}
}

func (o *failingOutput) Write(content []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.fails {
		o.failed <- struct{}{}
		return 0, io.ErrClosedPipe
	}
	return o.output.Write(content)
}

func (o *failingOutput) setFails(fails bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.fails = fails
}

// TestOutputRecoversAfterFailure guards against a failed write that stops all later
// output: bufio.Writer keeps its error until it is reset. The lost lines are reported.
func TestOutputRecoversAfterFailure(t *testing.T) {
	c := qt.New(t)
	output := &failingOutput{fails: true, failed: make(chan struct{}, 1)}
	sink := logsink.New(logsink.DefaultOptions(), clock.Real(), output)
	log := logr.FromSlogHandler(sink.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	go sink.Run(ctx)
	log.Info("Lost")
	<-output.failed
	output.setFails(false)
	log.Info("Written")
	cancel()
	<-sink.Done()
	written := output.output.String()
	c.Check(strings.Contains(written, "Written"), qt.IsTrue, qt.Commentf("%s", written))
	c.Check(strings.Contains(written, "LinesDropped"), qt.IsTrue, qt.Commentf("%s", written))
	c.Check(strings.Contains(written, `"Lost"`), qt.IsFalse)
}

// BenchmarkRequest measures the cost of logging one request.
func BenchmarkRequest(b *testing.B) {
	sink := logsink.New(logsink.Options{Capacity: 1 << 20, MaxDebugLines: 1 << 30, MaxInfoLines: 1 << 30}, clock.Real(), io.Discard)
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
