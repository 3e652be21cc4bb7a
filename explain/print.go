package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Print writes an explanation as human-readable text.
func Print(w io.Writer, explanation Explanation) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Request %s\n\n%s\n", explanation.Request, explanation.Cause)
	section(&text, "Events of the request", explanation.Steps)
	section(&text, "State changes before and during the request", explanation.Context)
	_, err := io.WriteString(w, text.String())
	return err
}

func section(text *strings.Builder, title string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(text, "\n%s\n", title)
	for _, line := range lines {
		fmt.Fprintf(text, "  %s  %-18s %-16s", line.Time.Format("15:04:05.000"), line.Process, line.Event)
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			if name == "Request" || line.text(name) == "" {
				continue
			}
			fmt.Fprintf(text, " %s=%v", name, line.Fields[name])
		}
		text.WriteString("\n")
	}
}
