package matrix

import (
	"fmt"
	"strings"
)

// Seed is the seed of the cases in CI.
const Seed = 1

// State is the state of a cell.
type State string

// The states of a cell.
const (
	// StateGreen cells have run without a violation.
	StateGreen State = "Green"
	// StateRed cells have run with a violation of an invariant.
	StateRed State = "Red"
	// StateImpossible cells have a fault that cannot occur at the step.
	StateImpossible State = "Impossible"
	// StateNotCovered cells have no case yet; they don't count as passed.
	StateNotCovered State = "NotCovered"
)

// Cell is a cell of the table: a fault at a step.
type Cell struct {
	Row     Row
	Subject Subject
	Step    Step
	// Reason says why the cell has no case, if Case is empty.
	Reason string
	// Case is the name of the cell's case, or empty.
	Case string
	// isCovered is false if the fault can occur at the step but has no case yet.
	isCovered bool
	run       func(options options, seed uint64) []error
}

// Verdict is the result of a cell.
type Verdict struct {
	Cell
	State State
	// Errors hold the violations of a red cell.
	Errors []error
}

// Cells returns all cells, row by row.
func Cells() []Cell {
	var cells []Cell
	for _, row := range Rows() {
		for _, subject := range Subjects() {
			for _, step := range Steps(subject) {
				cells = append(cells, newCell(row, subject, step))
			}
		}
	}
	return cells
}

func newCell(row Row, subject Subject, step Step) Cell {
	cell := Cell{Row: row, Subject: subject, Step: step, isCovered: true}
	if cell.Reason = reasonOf(row, subject, step); cell.Reason != "" {
		return cell
	}
	if subject == SubjectOrder && orderFaults[row] == nil {
		cell.isCovered, cell.Reason = false, reasonNoCase
		return cell
	}
	cell.Case = slug(string(row)) + "/" + slug(string(step))
	switch subject {
	case SubjectRequest:
		cell.run = requestCell(requestFaults[row], step)
	case SubjectConfiguration:
		cell.run = configurationCell(row, step)
	default:
		cell.run = orderCell(row, step)
	}
	return cell
}

// requestCell returns a function that runs the fault at the step for every kind of
// request that it applies to.
func requestCell(fault requestFault, step Step) func(options, uint64) []error {
	return func(options options, seed uint64) []error {
		var errs []error
		for _, kind := range requestKinds() {
			if fault.appliesTo(kind, step) {
				errs = append(errs, runRequest(fault, step, kind, options, seed)...)
			}
		}
		return errs
	}
}

// slug returns the form that a name of a row or step has in the names of cases.
func slug(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(strings.ToLower(name), ",", ""), " ", "-")
}

// Run runs the case of the cell, if it has one.
func (c Cell) Run(seed uint64) Verdict { return c.runWith(defaultOptions(), seed) }

func (c Cell) runWith(options options, seed uint64) Verdict {
	verdict := Verdict{Cell: c, State: StateImpossible}
	switch {
	case !c.isCovered:
		verdict.State = StateNotCovered
	case c.run != nil:
		verdict.State = StateGreen
		verdict.Errors = c.run(options, seed)
	}
	if len(verdict.Errors) > 0 {
		verdict.State = StateRed
	}
	return verdict
}

// RunAll runs, one after the other, all cells whose case has the filter in its name.
// Cells without a case are always part of the result.
func RunAll(filter string, seed uint64) []Verdict {
	var verdicts []Verdict
	for _, cell := range Cells() {
		if cell.Case != "" && !strings.Contains(cell.Case, filter) {
			continue
		}
		verdicts = append(verdicts, cell.Run(seed))
	}
	return verdicts
}

// CheckAll returns a *RedError if a cell is red.
func CheckAll(verdicts []Verdict) error {
	var red []string
	for _, verdict := range verdicts {
		if verdict.State == StateRed {
			red = append(red, verdict.Case)
		}
	}
	if len(red) == 0 {
		return nil
	}
	return &RedError{Cells: red}
}

// String returns the cell and its state with the name of the case or the reason.
func (v Verdict) String() string {
	return fmt.Sprintf("%s / %s: %s %s%s", v.Row, v.Step, v.State, v.Case, v.Reason)
}
