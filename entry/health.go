package entry

import (
	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func balanceOptions(common telemetry.Common, zone string) balance.Options {
	options := balance.DefaultOptions(zone)
	options.OnHealthChange = func(change balance.HealthChange) { logHealthChange(common, change) }
	return options
}

// logHealthChange logs a change in the health of a runner or a zone.
func logHealthChange(common telemetry.Common, change balance.HealthChange) {
	fields := []any{"Runner", change.Runner, "Zone", change.Zone}
	if change.Kind == balance.RunnerPaused {
		fields = append(fields, "Milliseconds", change.Pause.Milliseconds())
	}
	common.Log.Info(string(change.Kind), fields...)
}
