package main

import (
	_ "embed" // for the configuration
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// The host, the service and the key of configuration.json.
const (
	host    = "desk.example"
	service = "desk"
	key     = "key-1"
)

// configuration is the only configuration that the operator writes.
//
//go:embed configuration.json
var configuration []byte

// rig holds the stand-ins and the daemons of a case.
type rig struct {
	program string
	// dir holds the settings and the logs of the daemons.
	dir     string
	record  *record
	store   *standin.Store
	cloud   *standin.Cloud
	daemons []*daemon
	runners []*runner
}

func newRig(program, path string) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	cloud, err := standin.NewCloud()
	if err != nil {
		return nil, err
	}
	r := &rig{program: program, dir: dir, record: record, store: standin.NewStore(), cloud: cloud}
	r.store.Put(standin.TopicConfiguration, "config", configuration)
	return r, nil
}

// readyTimeout bounds the start of a daemon.
const readyTimeout = 10 * time.Second

// startDaemons starts daemons, one in each zone, and waits until they are ready.
func (r *rig) startDaemons(count int) error {
	for range count {
		if err := r.addDaemon(); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// awaitReady waits until all daemons that run are ready.
func (r *rig) awaitReady() error {
	for _, d := range r.daemons {
		for end := time.Now().Add(readyTimeout); d.isRunning() && !d.isReady(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.name)
			}
		}
	}
	return nil
}

// startRunners starts runners that register themselves.
func (r *rig) startRunners(count int) error {
	for range count {
		if _, err := r.addRunner(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (r *rig) close() error {
	for _, d := range r.daemons {
		d.kill()
	}
	for _, runner := range r.runners {
		runner.close()
	}
	r.cloud.Close()
	r.store.Close()
	return os.RemoveAll(r.dir)
}

// finish writes the verdict and returns the exit code.
func (r *rig) finish(isBroken bool, err error) int {
	code := exitHeld
	switch {
	case err != nil:
		code = exitFailed
		r.record.add("the case could not run: %v", err)
	case isBroken:
		code = exitBroken
		r.record.add("BROKEN")
	default:
		r.record.add("held")
	}
	if err := errors.Join(err, r.record.close()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}
