package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

const (
	region             = "mn-central"
	zone               = "mn-central-a"
	service            = "placements"
	customerKey        = "demo-key"
	listsDir           = "examples/demo/"
	stepTimeout        = 20 * time.Second
	sequentialRequests = 2000
	concurrency        = 32
	loadRequests       = 20_000
	idleTime           = 10 * time.Second
)

// bench is a running system: a plain service and two daemons, one of which is
// measured.
type bench struct {
	fleet   *fleet.Fleet
	out     io.Writer
	daemon  hosting.VM
	backend hosting.VM
}

func run(out io.Writer) error {
	dir, err := os.MkdirTemp("", "cranberrywalk-bench-")
	if err != nil {
		return err
	}
	// A directory that can't be removed does not affect the result.
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.New(fleet.Options{Bin: "bin", Dir: dir, Region: region, PlatformFlags: []string{"--list-lag", "0s"}})
	if err != nil {
		return err
	}
	defer f.Close()
	b := &bench{fleet: f, out: out}
	for _, step := range []func() error{b.start, b.measureIdle, b.measureLatency, b.measureLoad} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// start starts one service and two daemons. The measured daemon is limited to one
// core by GOMAXPROCS.
func (b *bench) start() error {
	var err error
	if b.backend, err = b.fleet.StartBackend(fleet.Backend{Name: "service-a-1", Zone: zone, Class: "on-demand", Service: service}); err != nil {
		return err
	}
	if b.daemon, err = b.fleet.StartDaemon(fleet.Daemon{Name: "entry-a-1", Zone: zone, Environment: []string{"GOMAXPROCS=1"}}); err != nil {
		return err
	}
	if _, err = b.fleet.StartDaemon(fleet.Daemon{Name: "entry-a-2", Zone: zone}); err != nil {
		return err
	}
	_, err = b.fleet.RunCommand("publish", "--settings", b.fleet.SettingsPath("entry-a-1"),
		"--plans", listsDir+"unlimited-plans.json", "--allowances", listsDir+"allowances.json")
	if err != nil {
		return err
	}
	if err := fleet.AwaitReady(b.daemon, stepTimeout); err != nil {
		return err
	}
	return fleet.AwaitBackends(b.daemon, 1, stepTimeout)
}

func (b *bench) usage() (fleet.Usage, error) { return b.fleet.Process("entry-a-1").Usage() }

func (b *bench) measureIdle() error {
	before, err := b.usage()
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := b.usage()
	if err != nil {
		return err
	}
	share := (after.CPUTime - before.CPUTime).Seconds() / idleTime.Seconds()
	fmt.Fprintf(b.out, "idle: %.2f %% of a core, %.1f MB resident\n", 100*share, megabytes(after.ResidentBytes))
	return nil
}

// measureLatency compares the latencies of the same small requests sent through the
// daemon and directly to the service.
func (b *bench) measureLatency() error {
	direct, err := b.medianLatency("http://" + b.backend.Address + "/rosters")
	if err != nil {
		return err
	}
	through, err := b.medianLatency("http://" + b.daemon.Address + "/services/" + service + "/rosters")
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "one request at a time, median of %d: direct %v, through a daemon %v, ratio %.2f, added %v\n",
		sequentialRequests, direct, through, through.Seconds()/direct.Seconds(), through-direct)
	return nil
}

func (b *bench) medianLatency(url string) (time.Duration, error) {
	client := newClient(1)
	times := make([]time.Duration, 0, sequentialRequests)
	for range sequentialRequests {
		start := time.Now()
		if err := get(client, url); err != nil {
			return 0, err
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}

// measureLoad measures the throughput with many concurrent callers.
func (b *bench) measureLoad() error {
	before, err := b.usage()
	if err != nil {
		return err
	}
	start := time.Now()
	if err := b.load(); err != nil {
		return err
	}
	elapsed := time.Since(start)
	after, err := b.usage()
	if err != nil {
		return err
	}
	cpuTime := after.CPUTime - before.CPUTime
	fmt.Fprintf(b.out, "%d callers: %.0f requests a second, %.0f for each second of a core, %.1f MB resident\n",
		concurrency, loadRequests/elapsed.Seconds(), loadRequests/cpuTime.Seconds(), megabytes(after.ResidentBytes))
	return nil
}

func (b *bench) load() error {
	client := newClient(concurrency)
	url := "http://" + b.daemon.Address + "/services/" + service + "/rosters"
	failures := make(chan error, concurrency)
	var callers sync.WaitGroup
	for range concurrency {
		callers.Go(func() {
			for range loadRequests / concurrency {
				if err := get(client, url); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	callers.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}, Timeout: stepTimeout}
}

func get(client *http.Client, url string) error {
	request, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+customerKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &fleet.StatusError{URL: url, Status: response.StatusCode, Body: string(body)}
	}
	return nil
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
