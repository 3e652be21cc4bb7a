package matrix

import (
	"fmt"
	"io"
	"strings"
)

// marks holds the text of each state in the printed table.
var marks = map[State]string{StateGreen: "green", StateRed: "RED", StateImpossible: "-", StateNotCovered: "not covered"}

// Print writes the table of each subject, the violations of the red cells and a
// summary.
func Print(w io.Writer, verdicts []Verdict) {
	for _, subject := range Subjects() {
		printSubject(w, subject, verdicts)
	}
	counts := make(map[State]int)
	for _, verdict := range verdicts {
		counts[verdict.State]++
		for _, err := range verdict.Errors {
			fmt.Fprintf(w, "RED %s: %v\n", verdict.Case, err)
		}
	}
	fmt.Fprintf(w, "%d green, %d red, %d cannot occur, %d not covered\n",
		counts[StateGreen], counts[StateRed], counts[StateImpossible], counts[StateNotCovered])
}

func printSubject(w io.Writer, subject Subject, verdicts []Verdict) {
	fmt.Fprintf(w, "%-45s", subject)
	for _, step := range Steps(subject) {
		fmt.Fprintf(w, "%-12s", step)
	}
	for i, row := range Rows() {
		if i == 0 {
			fmt.Fprintln(w)
		}
		line := fmt.Sprintf("%-45s", row)
		for _, step := range Steps(subject) {
			line += fmt.Sprintf("%-12s", markOf(verdicts, row, step))
		}
		fmt.Fprintln(w, strings.TrimRight(line, " "))
	}
	fmt.Fprintln(w)
}

func markOf(verdicts []Verdict, row Row, step Step) string {
	for _, verdict := range verdicts {
		if verdict.Row == row && verdict.Step == step {
			return marks[verdict.State]
		}
	}
	return "not run"
}
