package outage_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/outage"
)

func TestNoKeyIsRunTwice(t *testing.T) {
	for _, scenario := range outage.Scenarios() {
		for _, design := range outage.Designs() {
			t.Run(scenario.Name+"/"+design.Name, func(t *testing.T) {
				t.Parallel()
				// The rate affects only how claims are batched, not which daemon decides.
				scenario := scenario
				scenario.Rate = 3
				for seed := range uint64(2) {
					c, result := qt.New(t), outage.Run(scenario, design, seed+1)
					comment := qt.Commentf("seed %d: %+v", seed+1, result)
					c.Check(result.RunTwice, qt.Equals, 0, comment)
					c.Check(result.Rejected, qt.Equals, 0, comment)
					c.Check(result.During.Calls > result.During.NotRun+result.During.Unknown, qt.IsTrue, comment)
				}
			})
		}
	}
}

func TestHoleNeedsFailureAndUnloggedClaims(t *testing.T) {
	c := qt.New(t)
	for _, scenario := range outage.Scenarios() {
		scenario.Rate = 1
		for _, design := range outage.Designs()[1:] {
			result := outage.Run(scenario, design, 1)
			wantHoles := scenario.FailedDaemon >= 0 && (scenario.LogOutage || strings.Contains(design.Name, "15 s"))
			c.Check(result.Holes > 0, qt.Equals, wantHoles, qt.Commentf("%s, %s", scenario.Name, design.Name))
		}
	}
}

func TestReportIsReproducible(t *testing.T) {
	c := qt.New(t)
	scenarios := outage.Scenarios()[2:4]
	for i := range scenarios {
		scenarios[i].Rate = 2
	}
	var first, second strings.Builder
	outage.Report(&first, scenarios, 1)
	outage.Report(&second, scenarios, 1)
	c.Assert(first.String(), qt.Equals, second.String())
	c.Assert(strings.Count(first.String(), "\n| zone cut off |"), qt.Equals, 3)
}

func TestYearHasNoRejectedRecords(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(3) {
		c.Check(outage.RunYear(0, false, seed+1).Rejected, qt.Equals, 0, qt.Commentf(fmt.Sprint("seed ", seed+1)))
	}
}
