// Package explain reconstructs from the logs of all processes what happened to one
// request. It does no input or output except on the given readers and writers.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one record of a log.
type Line struct {
	// Process is the name of the process that wrote the line.
	Process string
	Time    time.Time
	// Steady is the monotonic time since the start of the process, in seconds. It
	// orders the lines of one process even when the wall clock jumps.
	Steady float64
	Event  string
	// Fields holds the other fields.
	Fields map[string]any
}

// text returns a field as text, or an empty string.
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

// LogError reports that a log can't be read.
type LogError struct {
	Process string
	Cause   error
}

// Error implements error.
func (e *LogError) Error() string { return "log of " + e.Process + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *LogError) Unwrap() error { return e.Cause }

// maxLineBytes is the maximum length of a line of a log.
const maxLineBytes = 1 << 20

// Read returns the lines of a log. It skips lines without a record. Text before a
// record is a prefix that log collectors add; its last word names the process.
func Read(log Log) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log.Reader)
	scanner.Buffer(nil, maxLineBytes)
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

// splitRecord returns the fields of the record in a line and the text before it, which may
// contain braces.
func splitRecord(text string) (prefix string, fields map[string]any, found bool) {
	for start := strings.IndexByte(text, '{'); start >= 0; {
		if json.Unmarshal([]byte(text[start:]), &fields) == nil {
			return text[:start], fields, true
		}
		next := strings.IndexByte(text[start+1:], '{')
		if next < 0 {
			break
		}
		start += 1 + next
	}
	return "", nil, false
}

func parse(process, text string) (Line, bool) {
	prefix, fields, found := splitRecord(text)
	if !found {
		return Line{}, false
	}
	line := Line{Process: process, Fields: fields}
	line.Event, _ = fields["Event"].(string)
	line.Steady, _ = fields["Steady"].(float64)
	timestamp, _ := fields["Time"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, timestamp)
	if line.Event == "" || err != nil {
		return Line{}, false
	}
	line.Time = parsed
	// Log collectors put the time and the name of the process before the record.
	if words := strings.Fields(prefix); len(words) > 0 {
		line.Process = words[len(words)-1]
	}
	for _, name := range []string{"Event", "Steady", "Time", "Level"} {
		delete(fields, name)
	}
	return line, true
}

// Explanation is what the logs show about a request.
type Explanation struct {
	Request string
	// Steps are the lines about the request, in order.
	Steps []Line
	// Context holds the state changes shortly before or during the request that
	// concern its runners, the configuration, the store or the whole process.
	Context []Line
	// Cause describes why the request ended as it did.
	Cause string
}

// contextWindow is how long before a request the context starts.
const contextWindow = 5 * time.Second

// Request returns the explanation of a request.
func Request(request string, lines []Line) Explanation {
	explanation := Explanation{Request: request}
	for _, line := range lines {
		if line.text("Request") == request {
			explanation.Steps = append(explanation.Steps, line)
		}
	}
	sortLines(explanation.Steps)
	if len(explanation.Steps) == 0 {
		explanation.Cause = "No log mentions the request: it never arrived, or it succeeded and its line was dropped by the rate limit of the log."
		return explanation
	}
	explanation.Context = relatedLines(explanation.Steps, lines)
	explanation.Cause = describeEnd(explanation.Steps)
	return explanation
}

// sortLines sorts lines by the time of the first line of their process and the monotonic
// time since then. Jumps of the wall clock within a process change nothing.
func sortLines(lines []Line) {
	first := make(map[string]Line)
	for _, line := range lines {
		if earliest, found := first[line.Process]; !found || line.Steady < earliest.Steady {
			first[line.Process] = line
		}
	}
	at := func(line Line) time.Time {
		start := first[line.Process]
		return start.Time.Add(time.Duration((line.Steady - start.Steady) * float64(time.Second)))
	}
	slices.SortStableFunc(lines, func(x, y Line) int { return at(x).Compare(at(y)) })
}

// contextEvents are the events that concern every request of a process.
var contextEvents = []string{
	"ConfigurationTaken", "StoreLost", "StoreBack", "StoreRestored", "Stopping", "Started", "ZoneCut", "ZoneBack", "LinesDropped",
	"VersionsChanged", "StreamRuleChanged", "StreamRecordsFail", "StreamRecordsWritten", "StreamRecordsRestored",
}

func relatedLines(steps, lines []Line) []Line {
	first, last := steps[0], steps[len(steps)-1]
	milliseconds, _ := last.Fields["Milliseconds"].(float64)
	from := first.Time.Add(-contextWindow - time.Duration(milliseconds)*time.Millisecond)
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
		if slices.Contains(limitEvents, line.Event) {
			continue
		}
		if slices.Contains(contextEvents, line.Event) || line.text("Runner") != "" && runners[line.text("Runner")] {
			context = append(context, line)
		}
	}
	if concernsLimits(steps) {
		context = append(context, limitLines(lines, processes, from, last.Time)...)
	}
	sortLines(context)
	return context
}
