package matrix

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// TestMain checks that no goroutine leaks.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, cell := range Cells() {
		if cell.Case == "" {
			continue
		}
		t.Run(cell.Case, func(t *testing.T) {
			c := qt.New(t)
			for _, err := range cell.Run(Seed).Errors {
				c.Check(err, qt.IsNil)
			}
		})
	}
}

func TestEveryCellHasCaseOrReason(t *testing.T) {
	c := qt.New(t)
	cases := make(map[string]bool)
	for _, cell := range Cells() {
		c.Check((cell.Case == "") != (cell.Reason == ""), qt.IsTrue, qt.Commentf("%s / %s", cell.Row, cell.Step))
		c.Check((cell.Case == "") == (cell.run == nil), qt.IsTrue, qt.Commentf("%s / %s", cell.Row, cell.Step))
		c.Check(cell.Case != "" && cases[cell.Case], qt.IsFalse, qt.Commentf("case %s is not unique", cell.Case))
		cases[cell.Case] = true
		if !cell.isCovered {
			c.Check(cell.Run(Seed).State, qt.Equals, StateNotCovered)
		}
	}
}

func TestPageMatchesTable(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/FAULTS.md")
	c.Assert(err, qt.IsNil)
	var want strings.Builder
	WritePage(&want)
	c.Assert(strings.Contains(string(page), want.String()), qt.IsTrue,
		qt.Commentf("docs/FAULTS.md is out of date: go run ./cmd/matrix --page"))
}

func TestRedCellIsReported(t *testing.T) {
	c := qt.New(t)
	red := Verdict{Cell: Cell{Case: "log-down/claim"}, State: StateRed, Errors: []error{&ViolationError{Invariant: AtMostOnce}}}
	var printed strings.Builder

	Print(&printed, []Verdict{red})

	c.Assert(strings.Contains(printed.String(), "RED log-down/claim: "+string(AtMostOnce)), qt.IsTrue)
	c.Assert(CheckAll([]Verdict{red}), qt.ErrorMatches, "1 red cells: log-down/claim")
	c.Assert(CheckAll(nil), qt.IsNil)
}
