package entry

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/gateway"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// maxRunnersAge is the age that the list of runners has at most while the store can be read.
const maxRunnersAge = staleAfter + feedPeriod

// gatewayOptions returns the options of the gateway. A daemon learns that a runner leaves up to
// maxRunnersAge after the runner has said so.
func gatewayOptions(bounds platform.Bounds) gateway.Options {
	options := gateway.DefaultOptions()
	if bounds.DrainTime > 0 {
		options.ReturnTime = max(bounds.DrainTime-maxRunnersAge, 0)
	}
	trial := rolloutOptions(bounds.Rollouts)
	options.TrialShare = trial.Safety * trial.ExposureShare
	return options
}

const (
	// expiryGrace is how long runners are kept whose records expired during an
	// outage of the store.
	expiryGrace = 2200 * time.Millisecond
	// outdatedGraceHeartbeats is the number of runners' heartbeats by which the record of
	// each runner is its own again after a restore or a late write: the store drops a
	// record after three of them.
	outdatedGraceHeartbeats = 4
	// defaultRunnerHeartbeat is used when the platform tells none.
	defaultRunnerHeartbeat = 1200 * time.Millisecond
	// removedRunnerRetention exceeds the age of the copies from which the platform
	// restores its store.
	removedRunnerRetention = time.Minute
)

func inventoryOptions(settings platform.Settings) inventory.Options {
	heartbeat := settings.RunnerHeartbeat
	if heartbeat <= 0 {
		heartbeat = defaultRunnerHeartbeat
	}
	return inventory.Options{
		ExpiryGrace: expiryGrace, OutdatedGrace: outdatedGraceHeartbeats * heartbeat, RemovedRetention: removedRunnerRetention,
	}
}
