package e2e_test

import (
	"net/http"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/e2e"
	"github.com/cranberrywalk/cranberrywalk/standin"
	"github.com/cranberrywalk/cranberrywalk/standin/service"
)

// serviceRepeatsRefusal guards against a refusal of another request that is passed on for a
// request that the service has run, and against a second run for its sake.
func serviceRepeatsRefusal(d *e2e.Driver) {
	startPair(d)
	d.SetFaults("service-b-1", service.Faults{
		CountedFault: standin.CountedFault[service.Fault]{Fault: service.FaultRepeatRefusal, Count: 1},
	})

	refused := d.PostConfirmation("entry-a-1", "repeat").Answer()

	assertOutcomeUnknown(d, refused)
	d.Assert(refused.Status, qt.Equals, http.StatusBadGateway)
	assertOutcomeUnknown(d, d.PostConfirmation("entry-b-1", "repeat").Answer())
	d.Assert(d.Runs("service-b-1", "repeat"), qt.Equals, 1)
}
