package gateway_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/gateway"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// Guards against refusals of which no log line tells why the request is certain not to have run.
func TestRefusalAfterAttemptsIsLogged(t *testing.T) {
	rejected := standin.Behaviour{Status: 503, NotRun: true}
	r := newRig(t, always(rejected), always(rejected))
	r.c.Assert(r.send("/once/a").status, qt.Equals, 503)
	lines := r.log.linesOf(gateway.EventRefusedAfterAttempts)
	r.c.Assert(lines, qt.HasLen, 1)
	for _, field := range []string{`"Request"="attempt-1"`, `"Unwritten"=0 "Rejected"=2 "Unknown"=0`, `"Outcome"="NotRun"`} {
		r.c.Check(strings.Contains(lines[0], field), qt.IsTrue, qt.Commentf("%s", lines[0]))
	}
}

// Guards against answers to other requests of which no log line tells.
func TestMismatchedAnswerIsLogged(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Status: 503, NotRun: true, RequestID: "attempt-0"}))
	r.send("/once/a")
	lines := r.log.linesOf(gateway.EventMismatchedAnswer)
	r.c.Assert(lines, qt.HasLen, 1)
	for _, field := range []string{`"Request"="attempt-1"`, `"Named"="attempt-0"`, `"NotRun"=true`, `"AnswerNames"="OtherRequest"`} {
		r.c.Check(strings.Contains(lines[0], field), qt.IsTrue, qt.Commentf("%s", lines[0]))
	}
}
