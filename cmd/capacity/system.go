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
	// settleTime is the wait before a measurement, so that the cost of starting is
	// not measured.
	settleTime = 3 * time.Second
	readyWait  = 30 * time.Second
	// bytesPerKB is 1000, as in the traffic budgets that the result is compared
	// with.
	bytesPerKB = 1000
)

// system is a running fleet whose first daemon is measured.
type system struct {
	dir   string
	fleet *fleet.Fleet
	// first is the daemon that is measured.
	first hosting.VM
	// stop ends the load.
	stop       chan struct{}
	background sync.WaitGroup
}

// newSystem starts the given number of daemons in each of the zones.
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
	_, err := s.fleet.RunCommand("publish", "--settings", s.fleet.SettingsPath(s.first.Name),
		"--plans", listsDir+"unlimited-plans.json", "--allowances", listsDir+"allowances.json")
	if err != nil {
		return err
	}
	return fleet.AwaitReady(s.first, readyWait)
}

func zoneName(zone int) string { return fmt.Sprintf("%s-%d", region, zone) }

// close stops the load and all processes.
func (s *system) close() {
	close(s.stop)
	s.background.Wait()
	s.fleet.Close()
	// A directory that can't be removed does not affect the result.
	_ = os.RemoveAll(s.dir)
}

// stopped reports whether the load has to stop.
func (s *system) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// counters are the metrics of a daemon from which rates are computed.
type counters struct {
	peerBytes int64
	appends   int64
	reads     int64
}

func (s *system) counters() (counters, error) {
	var all map[string]struct{ Count int64 }
	err := fleet.RequestJSON(http.MethodGet, "http://"+s.first.AdminAddress+"/metrics", nil, &all)
	return counters{
		peerBytes: all["Peer.BytesSent"].Count + all["Peer.BytesReceived"].Count,
		appends:   all["Ledger.Appends"].Count + all["Logstream.Appends"].Count,
		reads:     all["Logstream.Reads"].Count + all["Ledger.Reads"].Count,
	}, err
}

// measure returns the resource use of the first daemon over a period.
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
	start := time.Now()
	time.Sleep(period)
	used, err := process.Usage()
	if err != nil {
		return cost{}, err
	}
	after, err := s.counters()
	if err != nil {
		return cost{}, err
	}
	seconds := time.Since(start).Seconds()
	return cost{
		cpuPercent:       100 * (used.CPUTime - usedBefore.CPUTime).Seconds() / seconds,
		residentMB:       float64(used.ResidentBytes) / (1 << 20),
		peerKBPerSecond:  float64(after.peerBytes-before.peerBytes) / bytesPerKB / seconds,
		appendsPerSecond: float64(after.appends-before.appends) / seconds,
		readsPerSecond:   float64(after.reads-before.reads) / seconds,
	}, nil
}
