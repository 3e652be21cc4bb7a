package gateway_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/gateway"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// Guards against refusals whose line does not tell on which connection the rejection behind it came,
// and at which address, so that an answer to an earlier attempt can't be told from a sound one.
func TestLineOfRefusalTellsOriginOfRejections(t *testing.T) {
	rejected := standin.Behaviour{Status: 503, NotRun: true}
	r := newRig(t, always(rejected), always(rejected))
	r.send("/once/a")
	lines := r.log.linesOf(gateway.EventRefusedAfterAttempts)
	qt.Assert(t, lines, qt.HasLen, 1)
	qt.Check(t, strings.Contains(lines[0], `"ConnectionReused"`), qt.IsTrue, qt.Commentf("%s", lines[0]))
}
