package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord replaces the file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// add writes a line with the time since the start, also to the standard output.
func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() { _ = r.file.Close() }
