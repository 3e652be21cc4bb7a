package gateway_test

import (
	"strings"
	"sync"
)

// recordedLog holds the log lines of a gateway.
type recordedLog struct {
	mutex sync.Mutex
	// lines is guarded by mutex.
	lines []string
}

// record records a log line.
func (r *recordedLog) record(_, line string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, line)
}

// linesOf returns the log lines of an event.
func (r *recordedLog) linesOf(event string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var lines []string
	for _, line := range r.lines {
		if strings.Contains(line, `"msg"="`+event+`"`) {
			lines = append(lines, line)
		}
	}
	return lines
}
