package matrix

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/suspect"
)

// alwaysWins is a claimer that grants every claim.
type alwaysWins struct{ dispatch.Claimer }

func (alwaysWins) Claim(_ context.Context, key claim.Key, _ uint64) (dispatch.ClaimResult, error) {
	return dispatch.ClaimResult{Won: true, Claim: claim.Claim{Key: key}}, nil
}

func (alwaysWins) Release(context.Context, claim.Claim) error { return nil }

func TestCheckerDetectsMissingProtection(t *testing.T) {
	for _, scenario := range []struct {
		name      string
		disable   func(o *options)
		cell      string
		invariant Invariant
	}{
		{
			"claim before write", func(o *options) {
				o.claimer = func(inner dispatch.Claimer) dispatch.Claimer { return alwaysWins{inner} }
			},
			"holder-paused/dispatch", AtMostOnce,
		},
		{
			"leaving backend servers get no new work", func(o *options) { o.ignoresLeaving = true },
			"reclaim-wave/choose", LeavingGetsNoWork,
		},
		{
			"stop after two crashes", func(o *options) { o.suspects = suspect.Options{Lifetime: -time.Second} },
			"request-that-crashes-backend-servers/dispatch", CrashesBounded,
		},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			cells := Cells()
			at := slices.IndexFunc(cells, func(cell Cell) bool { return cell.Case == scenario.cell })
			c.Assert(at >= 0, qt.IsTrue)
			unprotected := defaultOptions()
			scenario.disable(&unprotected)

			c.Assert(cells[at].runWith(defaultOptions(), Seed).State, qt.Equals, StateGreen)
			verdict := cells[at].runWith(unprotected, Seed)

			c.Assert(verdict.State, qt.Equals, StateRed)
			c.Assert(slices.ContainsFunc(verdict.Errors, func(err error) bool {
				var violation *ViolationError
				return errors.As(err, &violation) && violation.Invariant == scenario.invariant
			}), qt.IsTrue, qt.Commentf("%v", verdict.Errors))
		})
	}
}
