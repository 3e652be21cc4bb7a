package gateway_test

import (
	"fmt"
	"strings"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
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

// describeArrivals describes the requests that reached each runner. A request of another process
// may reach a runner whose port was in use there before.
func (r *rig) describeArrivals() string {
	var text strings.Builder
	for _, runner := range r.runners {
		for _, received := range runner.ReceivedRequests() {
			fmt.Fprintf(&text, "%s: %s %s of %s for %s, ran %v\n", runner.ID, received.Method, received.Target,
				received.Header.Get(standin.HeaderCallID), received.Header.Get(standin.HeaderExpectedRunner), received.Ran)
		}
	}
	return text.String()
}
