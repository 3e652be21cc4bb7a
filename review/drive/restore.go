package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

const (
	// usageWindow is the bound report_window_s.
	usageWindow = 5 * time.Second
	// stopAfter is from the begin of the window to the planned stop of a daemon.
	stopAfter = 500 * time.Millisecond
	// copyAfter is from the begin of the window to the copy from which the store is restored.
	copyAfter = usageWindow
	// awayTime is how long the store is away in the drill.
	awayTime = time.Second
	// watchTime is how long reports are watched after the drill.
	watchTime = 15 * time.Second
)

// playRestore stops and starts one daemon as planned. After the usage of that window has been
// reported, power is lost: all daemons end, and the store comes back from a copy that is some
// seconds old.
func playRestore(r *rig, hasTrouble bool) (bool, error) {
	if err := r.startRunners(4); err != nil {
		return false, err
	}
	if err := r.startDaemons(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for _, d := range r.daemons {
		traffic.Go(func() { r.sendSteadily(d, stop) })
	}
	time.Sleep(2*usageWindow + usageWindow/2)
	window := time.Now().UnixNano()/int64(usageWindow) + 1
	begin := time.Unix(0, window*int64(usageWindow))
	time.Sleep(time.Until(begin.Add(stopAfter)))
	var planned sync.WaitGroup
	planned.Go(func() { r.restart(r.daemons[2]) })
	time.Sleep(time.Until(begin.Add(copyAfter)))
	copied := r.store.Snapshot()
	r.record.add("the store is copied")
	planned.Wait()
	if !r.awaitReport(window) {
		return false, fmt.Errorf("the usage of window %d was not reported", window)
	}
	if hasTrouble {
		if err := r.losePower(copied); err != nil {
			return false, err
		}
	}
	time.Sleep(watchTime)
	close(stop)
	traffic.Wait()
	return r.hasTwoReports(), nil
}

// restart stops a daemon as planned and starts it again.
func (r *rig) restart(d *daemon) {
	d.signal(syscall.SIGTERM)
	<-d.ended()
	if err := d.start(); err != nil {
		r.record.add("%s could not be started: %v", d.name, err)
	}
}

// sendSteadily sends requests to a daemon as long as it is ready.
func (r *rig) sendSteadily(d *daemon, stop <-chan struct{}) {
	caller := newCaller(r.record)
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if d.isRunning() && d.isReady() {
			caller.send(d, message{method: http.MethodPost, path: "/confirm/placement", body: []byte("teacher 7"), deadline: time.Second})
		}
	}
}

// awaitReport waits until the platform has accepted the report of a window.
func (r *rig) awaitReport(window int64) bool {
	for end := time.Now().Add(3 * usageWindow); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, report := range r.cloud.Reports() {
			if report.Window == window {
				return true
			}
		}
	}
	return false
}

// losePower ends all daemons and restores the store from a copy. What the operator wrote is
// written again, and the runners go on writing.
func (r *rig) losePower(copied standin.Snapshot) error {
	r.record.add("power is lost; the store is away")
	r.store.SetFault(func(standin.Call) standin.Fault { return standin.FaultReset })
	for _, d := range r.daemons {
		d.kill()
	}
	time.Sleep(awayTime)
	r.store.Restore(copied)
	r.store.Put(standin.TopicConfiguration, "config", configuration)
	r.store.SetFault(nil)
	r.record.add("the store is back, restored from the copy")
	for _, d := range r.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// hasTwoReports reports whether the platform has accepted reports with different counts for one
// window.
func (r *rig) hasTwoReports() bool {
	first := make(map[int64]standin.UsageReport)
	isBroken := false
	for _, report := range r.cloud.Reports() {
		r.record.add("the platform accepted from %s with fencing token %d for window %d: %v", report.Holder, report.Fence, report.Window, report.Counts)
		known, found := first[report.Window]
		if !found {
			first[report.Window] = report
			continue
		}
		if !maps.Equal(known.Counts, report.Counts) {
			isBroken = true
			r.record.add("window %d was reported with %v and with %v", report.Window, known.Counts, report.Counts)
		}
	}
	return isBroken
}
