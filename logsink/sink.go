// Package logsink writes log records as JSON lines without ever making the
// writer of a record wait. When records come faster than a bound, the least
// telling ones are dropped and counted.
package logsink

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/ring"
)

// Options bounds the lines of one second by class.
type Options struct {
	// Capacity is the number of records that wait for the writer.
	Capacity int
	// Ordinary bounds the lines below slog.LevelInfo, which tell of successes.
	Ordinary int
	// Telling bounds the lines of slog.LevelInfo, which tell of failures and of
	// changes of belief. Those above are only bounded by Capacity.
	Telling int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options { return Options{Capacity: 2048, Ordinary: 40, Telling: 200} }

// Sink is the queue between the writers of records and the output.
type Sink struct {
	options Options
	clock   clock.Clock
	started time.Time
	// writer gathers the lines of one look at the queue into one write.
	writer *bufio.Writer
	// target is the output under the writer.
	target  io.Writer
	output  slog.Handler
	records *ring.Ring[entry]
	dropped atomic.Int64
	done    chan struct{}

	mutex sync.Mutex
	// second is the begin of the second whose lines are counted; guarded by
	// mutex.
	second            time.Time
	ordinary, telling int
}

// entry is a record with the handler that knows its attributes.
type entry struct {
	handler slog.Handler
	record  slog.Record
}

// New returns a sink whose records wait until Run writes them.
func New(options Options, c clock.Clock, output io.Writer) *Sink {
	writer := bufio.NewWriterSize(output, writeBytes)
	return &Sink{
		options: options, clock: c, started: c.Now(), done: make(chan struct{}), writer: writer, target: output,
		output: slog.NewJSONHandler(writer, &slog.HandlerOptions{
			Level: slog.LevelDebug - 4, ReplaceAttr: pascalCase,
		}),
		records: ring.New[entry]("log records", options.Capacity),
	}
}

// writeBytes is the most that one write takes.
const writeBytes = 32 << 10

// pascalCase names the fields that slog sets itself.
func pascalCase(groups []string, attribute slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return attribute
	}
	switch attribute.Key {
	case slog.TimeKey:
		attribute.Key = "Time"
	case slog.LevelKey:
		attribute.Key = "Level"
	case slog.MessageKey:
		attribute.Key = "Event"
	case "err":
		attribute.Key = "Error"
	}
	return attribute
}

// Done is closed by Run when it returns.
func (s *Sink) Done() <-chan struct{} { return s.done }

// Handler returns the handler of a logger on the sink.
func (s *Sink) Handler() slog.Handler { return handler{sink: s, output: s.output} }

// pause is the time between two looks at the queue.
const pause = 50 * time.Millisecond

// flush writes what was gathered. Lines that the output does not take are lost, and
// the gap is told once it takes some again.
func (s *Sink) flush() {
	if err := s.writer.Flush(); err != nil {
		s.dropped.Add(1)
		s.writer.Reset(s.target)
	}
}

// Run writes records until ctx ends and the queue is empty.
func (s *Sink) Run(ctx context.Context) {
	defer close(s.done)
	told := s.clock.Now()
	for {
		ended := clock.Sleep(ctx, s.clock, pause) != nil
		for _, e := range s.records.Drain(s.options.Capacity) {
			_ = e.handler.Handle(ctx, e.record)
		}
		if ended || s.clock.Since(told) >= time.Second {
			told = s.clock.Now()
			s.tellDropped(ctx)
		}
		s.flush()
		if ended {
			return
		}
	}
}

// tellDropped writes how many lines were dropped since it was last told.
func (s *Sink) tellDropped(ctx context.Context) {
	lost := s.dropped.Swap(0)
	if lost == 0 {
		return
	}
	record := slog.NewRecord(s.clock.Now(), slog.LevelWarn, "LinesDropped", 0)
	record.AddAttrs(slog.Int64("Lines", lost))
	_ = s.output.Handle(ctx, record)
}

// admit reports whether a record is within the bound of its class.
func (s *Sink) admit(record slog.Record) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now := s.clock.Now(); now.Sub(s.second) >= time.Second {
		s.second, s.ordinary, s.telling = now, 0, 0
	}
	switch {
	case record.Level < slog.LevelInfo:
		s.ordinary++
		return s.ordinary <= s.options.Ordinary
	case record.Level == slog.LevelInfo:
		s.telling++
		return s.telling <= s.options.Telling
	default:
		return true
	}
}

func (s *Sink) put(output slog.Handler, record slog.Record) {
	if !s.admit(record) {
		s.dropped.Add(1)
		return
	}
	record.AddAttrs(slog.Float64("Steady", s.clock.Since(s.started).Seconds()))
	if s.records.Put(entry{handler: output, record: record}) != nil {
		s.dropped.Add(1)
	}
}

// handler implements slog.Handler.
type handler struct {
	sink   *Sink
	output slog.Handler
}

// Enabled implements slog.Handler.
func (h handler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h handler) Handle(_ context.Context, record slog.Record) error {
	h.sink.put(h.output, record)
	return nil
}

// WithAttrs implements slog.Handler.
func (h handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	h.output = h.output.WithAttrs(attributes)
	return h
}

// WithGroup implements slog.Handler.
func (h handler) WithGroup(name string) slog.Handler {
	h.output = h.output.WithGroup(name)
	return h
}
