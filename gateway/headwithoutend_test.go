package gateway_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestHeadWithoutEndIsNoCrash guards against requests that are refused as crashing runners
// because runners sent heads without end.
func TestHeadWithoutEndIsNoCrash(t *testing.T) {
	for name, endless := range map[string]standin.Endless{
		"slow header lines": {Content: "X-Note: x\r\n", Place: standin.InHead, Pause: 20 * time.Millisecond},
		"fast header lines": {Content: "X-Note: x\r\n", Place: standin.InHead},
		"interim answers":   {Content: "HTTP/1.1 102 Processing\r\nX-Note: x\r\n\r\n", Place: standin.InsteadOfHead},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fault := standin.Behaviour{Endless: endless}
			r := newRig(t, inTurn(fault, fault, fault, okAnswer))
			for i := range 3 {
				got := r.send("/once/a", with(standin.HeaderCallID, fmt.Sprint("attempt-", i)), with(standin.HeaderDeadline, "3000"))
				r.c.Check(got.status, qt.Equals, 502)
			}
			r.c.Check(r.send("/once/a").status, qt.Equals, 200)
		})
	}
}
