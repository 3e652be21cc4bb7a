package entry

import (
	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/capacity"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func balanceOptions(common telemetry.Common, self membership.Member) balance.Options {
	options := balance.DefaultOptions(self.Zone)
	options.Daemon = daemonOf(self)
	options.OnHealthChange = func(change balance.HealthChange) { logHealthChange(common, change) }
	options.OnCapacityChange = func(change capacity.Change) { logCapacityChange(common, change) }
	return options
}

// daemonOf returns a member of the group as one that shares the limits of runners.
func daemonOf(member membership.Member) runnerlimit.Daemon {
	return runnerlimit.Daemon{Name: member.Name, Zone: member.Zone, Incarnation: member.Incarnation}
}

// logCapacityChange logs a change of what a runner is thought to carry.
func logCapacityChange(common telemetry.Common, change capacity.Change) {
	common.Count("Capacity.Changes", 1)
	common.Log.Info("RunnerCapacityChanged", "Runner", change.Runner, "Speed", change.After.Speed, "SpeedBefore", change.Before.Speed,
		"Knee", change.After.Knee, "KneeBefore", change.Before.Knee, "Samples", change.After.Samples)
}

// logHealthChange logs a change in the health of a runner or a zone.
func logHealthChange(common telemetry.Common, change balance.HealthChange) {
	fields := []any{"Runner", change.Runner, "Zone", change.Zone}
	switch change.Kind {
	case balance.RunnerPaused:
		fields = append(fields, "Milliseconds", change.Pause.Milliseconds())
	case balance.RunnerLimited, balance.RunnerLimitChanged, balance.RunnerLimitEnded:
		fields = append(fields, "PerSecond", change.Limit, "ObservedBy", change.ObservedBy)
	case balance.RunnerLimitInvalid:
		fields = append(fields, "Text", change.Text)
	}
	common.Log.Info(string(change.Kind), fields...)
}
