// Package logsink writes log records as JSON lines without ever blocking the caller
// that logs. When records exceed a rate limit, those of the lowest level are dropped
// first, and the dropped ones are counted.
package logsink

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/ring"
)

// Options limits the queue and the lines per second by log level.
type Options struct {
	// Capacity is the number of records in the queue; further ones are dropped.
	Capacity int
	// MaxDebugLines is the number of lines per second below slog.LevelInfo, which
	// record successes.
	MaxDebugLines int
	// MaxInfoLines is the number of lines per second at slog.LevelInfo, which record
	// failures and state changes. Higher levels are limited by Capacity only.
	MaxInfoLines int
	// ReservedEvents are the events whose lines have limits of their own, whatever their
	// level, so that the limits of other lines do not concern them.
	ReservedEvents []string
	// MaxReservedLines is the number of lines per second of each reserved event.
	MaxReservedLines int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{Capacity: 2048, MaxDebugLines: 40, MaxInfoLines: 200, MaxReservedLines: 100}
}

// WithReservedEvents returns a copy with the reserved events.
func (o Options) WithReservedEvents(events ...string) Options {
	o.ReservedEvents = slices.Clone(events)
	return o
}

// Sink is the queue between loggers and the output.
type Sink struct {
	options Options
	clock   clock.Clock
	start   time.Time
	// writer buffers the lines of one flush interval.
	writer *bufio.Writer
	// target is the underlying output of writer.
	target io.Writer
	output slog.Handler
	// records and reserved are the queues of ordinary records and of the reserved events.
	records, reserved *ring.Ring[queuedRecord]
	// dropped counts all dropped lines, and droppedDebug those of them below slog.LevelInfo.
	dropped, droppedDebug atomic.Int64
	done                  chan struct{}

	mutex sync.Mutex
	// second is the start of the second in which the lines are counted; all fields below
	// are guarded by mutex.
	second                time.Time
	debugLines, infoLines int
	// reservedLines counts the lines of each reserved event.
	reservedLines map[string]int
}

// queuedRecord is a record with the handler that holds the attributes of its logger.
type queuedRecord struct {
	handler slog.Handler
	record  slog.Record
}

// New returns a sink that queues records until Run writes them.
func New(options Options, c clock.Clock, output io.Writer) *Sink {
	writer := bufio.NewWriterSize(output, writeBufferBytes)
	return &Sink{
		options: options, clock: c, start: c.Now(), done: make(chan struct{}), writer: writer, target: output, reservedLines: make(map[string]int),
		output: slog.NewJSONHandler(writer, &slog.HandlerOptions{
			Level: slog.LevelDebug - 4, ReplaceAttr: pascalCase,
		}),
		records:  ring.New[queuedRecord]("log records", options.Capacity),
		reserved: ring.New[queuedRecord]("reserved log records", options.Capacity),
	}
}

// writeBufferBytes is the size of the buffer in front of the output.
const writeBufferBytes = 32 << 10

// pascalCase renames the keys that slog and logr set themselves to PascalCase.
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

// Done returns a channel that is closed when Run returns.
func (s *Sink) Done() <-chan struct{} { return s.done }

// Handler returns a handler that queues records in the sink.
func (s *Sink) Handler() slog.Handler { return handler{sink: s, output: s.output} }

// flushInterval is the time between two writes of the queue to the output.
const flushInterval = 50 * time.Millisecond

// flush writes the buffered lines. If the output fails, they are lost and counted as
// one dropped line, which is reported once the output accepts lines again.
func (s *Sink) flush() {
	if err := s.writer.Flush(); err != nil {
		s.dropped.Add(1)
		s.writer.Reset(s.target)
	}
}

// Run writes records until ctx ends and the queue is empty.
func (s *Sink) Run(ctx context.Context) {
	defer close(s.done)
	lastReport := s.clock.Now()
	for {
		ended := clock.Sleep(ctx, s.clock, flushInterval) != nil
		for _, queue := range []*ring.Ring[queuedRecord]{s.reserved, s.records} {
			for _, queued := range queue.Drain(s.options.Capacity) {
				_ = queued.handler.Handle(ctx, queued.record)
			}
		}
		if ended || s.clock.Since(lastReport) >= time.Second {
			lastReport = s.clock.Now()
			s.reportDropped(ctx)
		}
		s.flush()
		if ended {
			return
		}
	}
}

// reportDropped writes the number of lines dropped since the last report.
func (s *Sink) reportDropped(ctx context.Context) {
	dropped, debug := s.dropped.Swap(0), s.droppedDebug.Swap(0)
	if dropped == 0 {
		return
	}
	record := slog.NewRecord(s.clock.Now(), slog.LevelWarn, "LinesDropped", 0)
	record.AddAttrs(slog.Int64("Lines", dropped), slog.Int64("DebugLines", debug))
	_ = s.output.Handle(ctx, record)
}

// withinLimit counts a record and reports whether it is within the limit of its level.
func (s *Sink) withinLimit(record slog.Record) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now := s.clock.Now(); now.Sub(s.second) >= time.Second {
		s.second, s.debugLines, s.infoLines = now, 0, 0
		clear(s.reservedLines)
	}
	switch {
	case s.isReserved(record):
		s.reservedLines[record.Message]++
		return s.reservedLines[record.Message] <= s.options.MaxReservedLines
	case record.Level < slog.LevelInfo:
		s.debugLines++
		return s.debugLines <= s.options.MaxDebugLines
	case record.Level == slog.LevelInfo:
		s.infoLines++
		return s.infoLines <= s.options.MaxInfoLines
	default:
		return true
	}
}

func (s *Sink) enqueue(output slog.Handler, record slog.Record) {
	if !s.withinLimit(record) {
		s.countDropped(record)
		return
	}
	record.AddAttrs(slog.Float64("Steady", s.clock.Since(s.start).Seconds()))
	queue := s.records
	if s.isReserved(record) {
		queue = s.reserved
	}
	if queue.Put(queuedRecord{handler: output, record: record}) != nil {
		s.countDropped(record)
	}
}

func (s *Sink) isReserved(record slog.Record) bool {
	return slices.Contains(s.options.ReservedEvents, record.Message)
}

func (s *Sink) countDropped(record slog.Record) {
	s.dropped.Add(1)
	if record.Level < slog.LevelInfo {
		s.droppedDebug.Add(1)
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
	h.sink.enqueue(h.output, record)
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
