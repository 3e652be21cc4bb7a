package daemon

import (
	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// judge tells what an attempt shows about its backend server; nil when it
// shows nothing.
func judge(vm string, seen dispatch.Observation) roster.Event {
	switch seen.Fault {
	case "":
		return roster.Answered{VM: vm}
	case backend.Cancelled:
		return nil
	}
	return roster.Failed{VM: vm}
}
