package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	started time.Time

	mutex sync.Mutex
	// file and writer are guarded by mutex.
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%8.3f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.writer, format+"\n", values...)
}

func (r *record) close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
