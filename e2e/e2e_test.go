package e2e_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/e2e"
)

// scenario is one script. Each is in a file of its own.
type scenario struct {
	name string
	run  func(d *e2e.Driver)
}

// scenarios lists every script.
var scenarios = []scenario{
	{"runner is reclaimed in mid-stream", runnerReclaimed},
	{"cache moves with a reclaimed stream", cacheMoves},
	{"leaving runner gets no new work", leavingRunnerIdle},
	{"runner dies in mid-stream", runnerDies},
	{"zone is reclaimed under load", zoneReclaimed},
	{"zone dies without notice under load", zoneDies},
	{"connection to a runner goes silent", connectionSilent},
	{"request crashes its runners", requestCrashes},
	{"daemon stops in mid-stream", daemonStopsStreaming},
	{"daemon stops in mid-claim", daemonStopsClaiming},
	{"daemon is killed in mid-stream", daemonKilledStreaming},
	{"daemon is killed in mid-claim", daemonKilledClaiming},
	{"daemon is frozen in mid-claim", daemonFrozenClaiming},
	{"entry VM is reclaimed", entryReclaimed},
	{"log has an outage", logOutage},
	{"log loses the answers to appends", logLosesAnswers},
	{"daemon starts while the log is down", daemonStartsWithoutLog},
	{"daemon is cut off from its peers", daemonCutFromPeers},
	{"daemon is cut off from the platform", daemonCutFromPlatform},
	{"operators race", operatorsRace},
	{"lost runner is replaced", lostRunnerReplaced},
	{"lease passes on from a killed daemon", leasePassesOn},
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
	// A directory that stays behind does no harm.
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
