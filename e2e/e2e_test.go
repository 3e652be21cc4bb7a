package e2e_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/e2e"
)

// scenario is one test of the fleet under a fault.
type scenario struct {
	name string
	run  func(d *e2e.Driver)
}

// scenarios lists all scenarios. Each runs in parallel on a fleet of its own.
var scenarios = []scenario{
	{"runner is reclaimed in mid-stream", runnerReclaimed},
	{"cache moves with a reclaimed stream", cacheMoves},
	{"leaving runner gets no new work", leavingRunnerIdle},
	{"runner is killed in mid-stream", runnerKilled},
	{"zone is reclaimed under load", zoneReclaimed},
	{"zone fails without notice under load", zoneFails},
	{"connection to a runner goes silent", connectionSilent},
	{"request crashes its runners", requestCrashesRunners},
	{"service repeats a refusal", serviceRepeatsRefusal},
	{"daemon stops in mid-stream", daemonStopsStreaming},
	{"daemon stops while it holds a claim", daemonStopsClaiming},
	{"daemon is hung up in mid-stream", daemonHungUpStreaming},
	{"daemon is killed in mid-stream", daemonKilledStreaming},
	{"daemon is killed while it holds a claim", daemonKilledClaiming},
	{"daemon is paused while it holds a claim", daemonPausedClaiming},
	{"entry VM is reclaimed", entryReclaimed},
	{"log has an outage", logOutage},
	{"log loses the answers to appends", logLosesAnswers},
	{"daemon starts while the log is down", daemonStartsWithoutLog},
	{"daemon is cut off from its peers", daemonCutFromPeers},
	{"daemon is cut off from the platform", daemonCutFromPlatform},
	{"operators amend concurrently", operatorsAmendConcurrently},
	{"lost runner is replaced", lostRunnerReplaced},
	{"lease of a killed daemon is taken over", leaseTakenOver},
}

// binaries is the directory of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cranberrywalk-e2e-")
	if err != nil {
		panic(err)
	}
	// A directory that is left behind does no harm.
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "..", "../cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	binaries = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.run(e2e.NewDriver(qt.New(t), binaries))
		})
	}
}
