package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Line is the JSON form of an Entry. Empty fields are left out.
type Line struct {
	// Time is the wall clock part of the stamp in readable form; ReadLines
	// ignores it.
	Time     time.Time
	Wall     int64
	Counter  uint32
	Daemon   string
	Zone     string `json:",omitempty"`
	Kind     string
	Request  string `json:",omitempty"`
	Customer string `json:",omitempty"`
	Backend  string `json:",omitempty"`
	Detail   string `json:",omitempty"`
}

// LineError reports that a line of a time line is not valid JSON.
type LineError struct {
	// Number counts the lines from 1.
	Number int
	Cause  error
}

// Error implements error.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d of the time line: %v", e.Number, e.Cause)
}

// Unwrap returns the underlying error.
func (e *LineError) Unwrap() error { return e.Cause }

// WriteText writes each entry as one line of text.
func WriteText(w io.Writer, entries []Entry) error {
	for _, entry := range entries {
		if _, err := io.WriteString(w, text(entry)+"\n"); err != nil {
			return errors.Wrap(err, "write time line")
		}
	}
	return nil
}

func text(entry Entry) string {
	var line strings.Builder
	fmt.Fprintf(&line, "%s %-16s %-12s %s", entry.Stamp, entry.Daemon, entry.Zone, entry.Event.Kind)
	for _, field := range []struct{ key, value string }{
		{"Request", entry.Event.Request},
		{"Customer", entry.Event.Customer},
		{"Backend", entry.Event.Backend},
	} {
		if field.value != "" {
			fmt.Fprintf(&line, " %s=%s", field.key, field.value)
		}
	}
	if entry.Event.Detail != "" {
		fmt.Fprintf(&line, " Detail=%q", entry.Event.Detail)
	}
	return line.String()
}

// WriteLines writes the entries as JSON lines, one object per entry.
func WriteLines(w io.Writer, entries []Entry) error {
	encoder := json.NewEncoder(w)
	for _, entry := range entries {
		if err := encoder.Encode(newLine(entry)); err != nil {
			return errors.Wrap(err, "write time line")
		}
	}
	return nil
}

// ReadLines parses the output of WriteLines.
func ReadLines(r io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(r)
	for number := 1; scanner.Scan(); number++ {
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, &LineError{Number: number, Cause: err}
		}
		entries = append(entries, line.entry())
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read time line")
	}
	return entries, nil
}

func newLine(entry Entry) Line {
	return Line{
		Time:     entry.Stamp.Time(),
		Wall:     entry.Stamp.Wall,
		Counter:  entry.Stamp.Counter,
		Daemon:   entry.Daemon,
		Zone:     entry.Zone,
		Kind:     entry.Event.Kind,
		Request:  entry.Event.Request,
		Customer: entry.Event.Customer,
		Backend:  entry.Event.Backend,
		Detail:   entry.Event.Detail,
	}
}

func (l Line) entry() Entry {
	return Entry{
		Stamp:  Stamp{Wall: l.Wall, Counter: l.Counter},
		Daemon: l.Daemon,
		Zone:   l.Zone,
		Event: telemetry.Event{
			Kind:     l.Kind,
			Request:  l.Request,
			Customer: l.Customer,
			Backend:  l.Backend,
			Detail:   l.Detail,
		},
	}
}
