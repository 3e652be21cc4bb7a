package runnerlimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// start is the origin of the times in tests.
var start = time.Unix(1000, 0)

// said returns a statement by the seconds at which the request was sent and the answer arrived.
func said(perSecond, sent, received float64) runnerlimit.Statement {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	return runnerlimit.Statement{PerSecond: perSecond, Sent: at(sent), Received: at(received), ObservedBy: "entry-1"}
}

// TestWhichStatementIsInForce guards against a limit that an older answer ends or raises, since
// its request was sent before the limit was named, and against one that can't end.
func TestWhichStatementIsInForce(t *testing.T) {
	for _, scenario := range []struct {
		name       string
		statements []runnerlimit.Statement
		want       float64
	}{
		{"none", nil, 0},
		{"answers without a limit", []runnerlimit.Statement{said(0, 1, 2), said(0, 3, 4)}, 0},
		{"a limit", []runnerlimit.Statement{said(0, 1, 2), said(4, 3, 4)}, 4},
		{"a later answer ends it", []runnerlimit.Statement{said(4, 1, 2), said(0, 3, 4)}, 0},
		{"an answer whose request was sent before", []runnerlimit.Statement{said(4, 1, 2), said(0, 1.5, 9)}, 4},
		{"a later answer raises it", []runnerlimit.Statement{said(4, 1, 2), said(6, 3, 4)}, 6},
		{"an answer that may be older does not raise it", []runnerlimit.Statement{said(4, 1, 2), said(6, 1.5, 3)}, 4},
		{"an answer that may be older lowers it", []runnerlimit.Statement{said(4, 1, 2), said(3, 1.5, 3)}, 3},
		{"an older answer does not lower it", []runnerlimit.Statement{said(4, 3, 4), said(3, 1, 2)}, 4},
		{"an older answer does not begin it", []runnerlimit.Statement{said(4, 1, 2), said(0, 3, 4), said(2, 1, 2.5)}, 0},
		{"an answer may come between two that name it", []runnerlimit.Statement{said(4, 1, 2), said(4, 3, 5), said(0, 4, 6)}, 4},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			var limit runnerlimit.Limit
			for _, statement := range scenario.statements {
				limit.Observe(statement, "entry-1", statement.Received)
			}
			qt.New(t).Check(limit.Statement().PerSecond, qt.Equals, scenario.want)
		})
	}
}
