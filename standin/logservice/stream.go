package logservice

import (
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// stream is an append-only sequence of records.
type stream struct {
	mu sync.Mutex
	// parameters sets the retention.
	parameters Parameters
	// records holds the retained records, with consecutive offsets from first
	// on.
	records []hosting.Record
	first   uint64
	// appended is closed and replaced on every append.
	appended chan struct{}
}

func newStream(parameters Parameters) *stream {
	return &stream{parameters: parameters, appended: make(chan struct{})}
}

// nextOffset returns the offset of the next record. The caller holds mu.
func (s *stream) nextOffset() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) append(payloads [][]byte, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.nextOffset()
	for i, payload := range payloads {
		s.records = append(s.records, hosting.Record{Offset: offset + uint64(i), Payload: payload, Time: now})
	}
	s.trim(now)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// trim removes the oldest records as the retention limits require. The caller
// holds mu.
func (s *stream) trim(now time.Time) {
	excess := max(0, len(s.records)-max(1, s.parameters.RetainedRecords))
	if s.parameters.Retention > 0 {
		oldest := now.Add(-s.parameters.Retention)
		for excess < len(s.records) && s.records[excess].Time.Before(oldest) {
			excess++
		}
	}
	s.records = s.records[excess:]
	s.first += uint64(excess)
}

// read returns up to limit records from offset from on. It returns false when the
// record at from has been trimmed.
func (s *stream) read(from uint64, limit int, now time.Time) (hosting.Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(now)
	batch := hosting.Batch{First: s.first, Next: s.nextOffset(), Records: []hosting.Record{}}
	if from < s.first {
		return batch, false
	}
	if from >= batch.Next {
		return batch, true
	}
	rest := s.records[from-s.first:]
	batch.Records = append(batch.Records, rest[:min(limit, len(rest))]...)
	return batch, true
}

// nextAppend returns a channel that is closed on the next append, or nil when the
// stream has a record at offset from already, even if it has been trimmed.
func (s *stream) nextAppend(from uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.nextOffset() {
		return nil
	}
	return s.appended
}
