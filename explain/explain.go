// Package explain finds in the logs of all processes what happened to one
// request. It has no input or output beyond the readers it is given.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one record of a log.
type Line struct {
	// Process names the log that the line is from.
	Process string
	Time    time.Time
	// Steady is the process's own time since its start, in seconds. Within one
	// process it tells the order, also when the time of day jumps.
	Steady float64
	Event  string
	// Fields holds the other fields.
	Fields map[string]any
}

// text returns a field as text, or the empty text.
func (l Line) text(name string) string {
	value, found := l.Fields[name]
	if !found {
		return ""
	}
	return fmt.Sprint(value)
}

// Log is the output of one process.
type Log struct {
	Process string
	Reader  io.Reader
}

// LogError says that a log can't be read.
type LogError struct {
	Process string
	Cause   error
}

// Error implements error.
func (e *LogError) Error() string { return "log of " + e.Process + ": " + e.Cause.Error() }

// Unwrap returns the failure underneath.
func (e *LogError) Unwrap() error { return e.Cause }

// mostLineBytes bounds a line of a log.
const mostLineBytes = 1 << 20

// Read returns the lines of a log. What is no record is passed over, and text
// before a record is dropped, since collectors add their own.
func Read(log Log) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log.Reader)
	scanner.Buffer(nil, mostLineBytes)
	for scanner.Scan() {
		if line, ok := parse(log.Process, scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &LogError{Process: log.Process, Cause: err}
	}
	return lines, nil
}

func parse(process, text string) (Line, bool) {
	prefix, record, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte("{"+record), &fields) != nil {
		return Line{}, false
	}
	line := Line{Process: process, Fields: fields}
	line.Event, _ = fields["Event"].(string)
	line.Steady, _ = fields["Steady"].(float64)
	stamp, _ := fields["Time"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, stamp)
	if line.Event == "" || err != nil {
		return Line{}, false
	}
	line.Time = parsed
	// Collectors put the time and the name of the process before the record.
	if words := strings.Fields(prefix); len(words) > 0 {
		line.Process = words[len(words)-1]
	}
	for _, name := range []string{"Event", "Steady", "Time", "Level"} {
		delete(fields, name)
	}
	return line, true
}

// Account is what the logs tell of a request.
type Account struct {
	Request string
	// Steps are the lines about the request, in order.
	Steps []Line
	// Context are changes of belief, shortly before or during the request, about
	// the runners that it met and about configuration, store and duties.
	Context []Line
	// Cause says in one sentence why the request ended as it did.
	Cause string
}

// contextBefore is how long before a request changes of belief are shown.
const contextBefore = 5 * time.Second

// Of returns the account of a request.
func Of(request string, lines []Line) Account {
	account := Account{Request: request}
	for _, line := range lines {
		if line.text("Request") == request {
			account.Steps = append(account.Steps, line)
		}
	}
	order(account.Steps)
	if len(account.Steps) == 0 {
		account.Cause = "No log tells of the request: it never arrived, or its line was one of the ordinary successes that are thinned."
		return account
	}
	account.Context = contextOf(account.Steps, lines)
	account.Cause = causeOf(account.Steps)
	return account
}

// order sorts by process time within a process and by the time of day between
// processes.
func order(lines []Line) {
	slices.SortStableFunc(lines, func(x, y Line) int {
		if x.Process == y.Process {
			return cmp.Compare(x.Steady, y.Steady)
		}
		return x.Time.Compare(y.Time)
	})
}

// contextEvents are changes of belief that concern every request of a process.
var contextEvents = []string{
	"ConfigurationTaken", "StoreLost", "StoreBack", "Stopping", "Started", "ZoneCut", "ZoneBack", "LinesDropped",
}

func contextOf(steps, lines []Line) []Line {
	first, last := steps[0], steps[len(steps)-1]
	took, _ := last.Fields["Milliseconds"].(float64)
	from := first.Time.Add(-contextBefore - time.Duration(took)*time.Millisecond)
	processes, runners := map[string]bool{}, map[string]bool{}
	for _, step := range steps {
		processes[step.Process] = true
		for _, name := range []string{"Runner", "From", "To"} {
			runners[step.text(name)] = true
		}
	}
	var context []Line
	for _, line := range lines {
		if !processes[line.Process] || line.text("Request") != "" || line.Time.Before(from) || line.Time.After(last.Time) {
			continue
		}
		if slices.Contains(contextEvents, line.Event) || line.text("Runner") != "" && runners[line.text("Runner")] {
			context = append(context, line)
		}
	}
	order(context)
	return context
}
