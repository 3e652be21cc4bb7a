package entry

import (
	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func balanceOptions(common telemetry.Common, self membership.Member) balance.Options {
	options := balance.DefaultOptions(self.Zone)
	options.Daemon = runnerlimit.Daemon{Name: self.Name, Zone: self.Zone, Incarnation: self.Incarnation}
	options.OnHealthChange = func(change balance.HealthChange) { logHealthChange(common, change) }
	return options
}

// logHealthChange logs a change in the health of a runner or a zone.
func logHealthChange(common telemetry.Common, change balance.HealthChange) {
	fields := []any{"Runner", change.Runner, "Zone", change.Zone}
	switch change.Kind {
	case balance.RunnerPaused:
		fields = append(fields, "Milliseconds", change.Pause.Milliseconds())
	case balance.RunnerLimited, balance.RunnerLimitChanged, balance.RunnerLimitEnded:
		fields = append(fields, "PerSecond", change.Limit, "HeardBy", change.HeardBy)
	case balance.RunnerLimitInvalid:
		fields = append(fields, "Text", change.Text)
	}
	common.Log.Info(string(change.Kind), fields...)
}
