package daemon

import (
	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// rosterEvent converts the observation of an attempt into an event about its
// backend server. It returns nil when the attempt was cancelled, which does not
// indicate whether the backend server works.
func rosterEvent(vm string, observation dispatch.Observation) roster.Event {
	switch observation.Fault {
	case "":
		return roster.Succeeded{VM: vm}
	case backend.Cancelled:
		return nil
	}
	return roster.Failed{VM: vm}
}
