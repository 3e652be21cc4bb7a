package main

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

const (
	// changePeriod is the time over which a given number of changes is spread.
	changePeriod = 10 * time.Second
	// streamTokens makes a stream last 60 s at 30 ms per token, which is longer
	// than a measurement.
	streamTokens = 2000
	engineCount  = 8
)

// withRunners starts two daemons in one zone and adds size idle runners of this zone
// to the VM list.
func withRunners(size int) (*system, error) {
	s, err := newSystem(1, 2)
	if err != nil {
		return nil, err
	}
	var vms []hosting.VM
	for i := range size {
		vms = append(vms, hosting.VM{
			Name: fmt.Sprintf("runner-%d", i), Role: hosting.RoleRunner, Region: region, Zone: zoneName(0),
			Class: "reclaimable-small", Reclaimable: true, Price: 1, Address: "127.0.0.1:1", Models: []string{model},
		})
	}
	if err := s.fleet.AddVMs(vms...); err != nil {
		return nil, err
	}
	return s, fleet.AwaitBackends(s.first, size, readyWait)
}

func withDaemons(size int) (*system, error) { return newSystem(1, size) }

func withZones(size int) (*system, error) { return newSystem(size, 2) }

// withClaims sends size requests per second, each with a new idempotency key, so
// that each one is claimed.
func withClaims(size int) (*system, error) {
	s, err := withService()
	if err != nil {
		return nil, err
	}
	s.repeat(time.Second/time.Duration(size), func(number int) {
		caller := fleet.NewCaller(s.first, customerKey)
		// Failed requests show as a lower rate of appends.
		_, _ = caller.PostService(service, "/confirmations", fmt.Sprintf("key-%d", number), "{}")
	})
	return s, nil
}

func withService() (*system, error) {
	s, err := newSystem(1, 2)
	if err != nil {
		return nil, err
	}
	b := fleet.Backend{Name: "service-0", Zone: zoneName(0), Class: "on-demand-small", Price: 3, Service: service}
	if _, err := s.fleet.StartBackend(b); err != nil {
		return nil, err
	}
	return s, fleet.AwaitBackends(s.first, 1, readyWait)
}

// withChanges amends an allowance size times per changePeriod.
func withChanges(size int) (*system, error) {
	s, err := newSystem(1, 2)
	if err != nil {
		return nil, err
	}
	s.repeat(changePeriod/time.Duration(size), func(int) {
		// A change that conflicts with another one is appended as well.
		_, _ = s.fleet.RunCommand("amend", "--settings", s.fleet.SettingsPath(s.first.Name),
			"--list", "Allowances", "--entry", listsDir+"amended-allowance.json")
	})
	return s, nil
}

// withStreams keeps size chat streams open.
func withStreams(size int) (*system, error) {
	s, err := newSystem(1, 2)
	if err != nil {
		return nil, err
	}
	for i := range engineCount {
		b := fleet.Backend{
			Name: fmt.Sprintf("runner-%d", i), Zone: zoneName(0), Class: "reclaimable-small", Price: 1, Model: model,
			Flags: []string{"--max-batch", "64"},
		}
		if _, err := s.fleet.StartBackend(b); err != nil {
			return nil, err
		}
	}
	if err := fleet.AwaitBackends(s.first, engineCount, readyWait); err != nil {
		return nil, err
	}
	for i := range size {
		go func() {
			// The stream fails when the system is closed.
			_, _ = fleet.NewCaller(s.first, customerKey).Chat(fleet.ChatRequest{
				Model: model, Stream: true, MaxTokens: streamTokens,
				Messages: []fleet.Message{{Role: "user", Content: fmt.Sprintf("question %d", i)}},
			})
		}()
	}
	return s, nil
}

// repeat calls do at a fixed interval, each call on its own goroutine, until the
// system is closed.
func (s *system) repeat(interval time.Duration, do func(number int)) {
	s.background.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for number := 0; !s.stopped(); number++ {
			select {
			case <-ticker.C:
				s.background.Go(func() { do(number) })
			case <-s.stop:
			}
		}
	})
}

// withListed starts two daemons and adds size runners of another region to the VM list.
// In a large system, the VM list also holds the VMs of other regions.
func withListed(size int) (*system, error) {
	s, err := newSystem(1, 2)
	if err != nil {
		return nil, err
	}
	var vms []hosting.VM
	for i := range size {
		vms = append(vms, hosting.VM{
			Name: fmt.Sprintf("runner-far-%d", i), Role: hosting.RoleRunner, Region: "elsewhere",
			Zone: fmt.Sprintf("elsewhere-%d", i%13), Class: "reclaimable-small", Reclaimable: true, Price: 1,
			Address: "127.0.0.1:1", Models: []string{model},
		})
	}
	// The daemon reads the list within settleTime, before the measurement.
	return s, s.fleet.AddVMs(vms...)
}
