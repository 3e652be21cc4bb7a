package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

const (
	region      = "mn-central"
	model       = "teaching-documents"
	service     = "placements"
	customerKey = "demo-key"
	listsDir    = "examples/demo/"
	// settleTime is waited before a measurement, so that the start is not
	// measured.
	settleTime = 3 * time.Second
	readyWait  = 30 * time.Second
	// bytesPerKB follows the budgets, which count in thousands.
	bytesPerKB = 1000
)

// system is a running fleet whose first daemon is measured.
type system struct {
	dir   string
	fleet *fleet.Fleet
	// first is the daemon that is measured.
	first hosting.VM
	// stop ends the load.
	stop chan struct{}
	load sync.WaitGroup
}

// newSystem starts daemons in zones, as many in each.
func newSystem(zones, daemons int) (*system, error) {
	dir, err := os.MkdirTemp("", "cranberrywalk-capacity-")
	if err != nil {
		return nil, err
	}
	f, err := fleet.New(fleet.Options{
		Bin: "bin", Dir: dir, Region: region, PlatformFlags: []string{"--list-lag", "0s", "--appends-per-second", "0"},
	})
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, fleet: f, stop: make(chan struct{})}
	if err := s.start(zones, daemons); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) start(zones, daemons int) error {
	for zone := range zones {
		for number := range daemons {
			name := fmt.Sprintf("entry-%d-%d", zone, number)
			vm, err := s.fleet.StartDaemon(fleet.Daemon{Name: name, Zone: zoneName(zone)})
			if err != nil {
				return err
			}
			if zone == 0 && number == 0 {
				s.first = vm
			}
		}
	}
	_, err := s.fleet.Command("publish", "--settings", s.fleet.SettingsPath(s.first.Name),
		"--plans", listsDir+"unlimited-plans.json", "--allowances", listsDir+"allowances.json")
	if err != nil {
		return err
	}
	return fleet.AwaitReady(s.first, readyWait)
}

func zoneName(zone int) string { return fmt.Sprintf("%s-%d", region, zone) }

// close ends the load and every process.
func (s *system) close() {
	close(s.stop)
	s.load.Wait()
	s.fleet.Close()
	// A directory that stays behind does no harm.
	_ = os.RemoveAll(s.dir)
}

// stopped reports whether the load is to end.
func (s *system) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// counters are those of a daemon's metrics that are measured.
type counters struct {
	peerBytes int64
	appends   int64
	reads     int64
}

func (s *system) counters() (counters, error) {
	var all map[string]struct{ Count int64 }
	err := fleet.Control(http.MethodGet, "http://"+s.first.AdminAddress+"/metrics", nil, &all)
	return counters{
		peerBytes: all["Peer.BytesSent"].Count + all["Peer.BytesReceived"].Count,
		appends:   all["Ledger.Appends"].Count + all["Logstream.Appends"].Count,
		reads:     all["Logstream.Reads"].Count + all["Ledger.Reads"].Count,
	}, err
}

// measure compares what the first daemon has used before and after a period.
func (s *system) measure(period time.Duration) (cost, error) {
	process := s.fleet.Process(s.first.Name)
	usedBefore, err := process.Usage()
	if err != nil {
		return cost{}, err
	}
	before, err := s.counters()
	if err != nil {
		return cost{}, err
	}
	begun := time.Now()
	time.Sleep(period)
	used, err := process.Usage()
	if err != nil {
		return cost{}, err
	}
	after, err := s.counters()
	if err != nil {
		return cost{}, err
	}
	seconds := time.Since(begun).Seconds()
	return cost{
		core:    100 * (used.Processor - usedBefore.Processor).Seconds() / seconds,
		memory:  float64(used.Resident) / (1 << 20),
		peers:   float64(after.peerBytes-before.peerBytes) / bytesPerKB / seconds,
		appends: float64(after.appends-before.appends) / seconds,
		reads:   float64(after.reads-before.reads) / seconds,
	}, nil
}
