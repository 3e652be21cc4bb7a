package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is the limit memory_mb of a daemon's machine, in kilobytes.
	memoryLimit = 284 * 1024
	// longBody is the limit max_body_bytes of the configuration.
	longBody = 4 << 20
	// usualInterval is the time between two requests of the tenant, and hotInterval that while it
	// sends 7.5 times its usual.
	usualInterval = 600 * time.Millisecond
	hotInterval   = 80 * time.Millisecond
	// longWork is how long a runner works on a request.
	longWork = 3 * time.Second
	// memoryTime is how long the requests come.
	memoryTime = 11 * time.Second
	// maxLost is how many requests on kept connections the rule allows to be lost.
	maxLost = 3
)

// playMemory sends requests with long bodies. The platform's part that limits the memory of a
// process is played by watchMemory.
func playMemory(r *rig, hasTrouble bool) (bool, error) {
	for range 4 {
		if _, err := r.addRunner(func(n *runner) { n.workTime = longWork }); err != nil {
			return false, err
		}
	}
	if err := r.startDaemons(1); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	d := r.daemons[0]
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { d.watchMemory(stop) })
	interval := usualInterval
	if hasTrouble {
		interval = hotInterval
	}
	lost := r.sendLongBodies(d, interval)
	close(stop)
	watch.Wait()
	r.record.add("%d requests were passed on to a sound runner, and their connection was closed without an answer", lost)
	return lost > maxLost, nil
}

// sendLongBodies sends requests with long bodies. It returns how many have come on a kept connection
// and were run, and got no answer.
func (r *rig) sendLongBodies(d *daemon, interval time.Duration) int {
	caller := newCaller(r.record)
	content := bytes.Repeat([]byte("x"), longBody)
	var requests sync.WaitGroup
	var mutex sync.Mutex
	unanswered := make(map[string]bool)
	for began := time.Now(); time.Since(began) < memoryTime; time.Sleep(interval) {
		requests.Go(func() {
			got := caller.send(d, message{method: http.MethodPost, path: "/confirm/placement", body: content, deadline: 15 * time.Second})
			mutex.Lock()
			defer mutex.Unlock()
			if got.err != nil && got.isKept {
				unanswered[got.id] = true
			}
		})
	}
	requests.Wait()
	lost := 0
	for _, n := range r.runners {
		for _, run := range n.runs() {
			if unanswered[run.id] {
				lost++
				r.record.add("%s ran %s, which came on a kept connection and got no answer", n.id, run.id)
			}
		}
	}
	return lost
}

// watchMemory kills the process of a daemon whose memory exceeds the limit, as the platform does,
// and starts it again.
func (d *daemon) watchMemory(stop <-chan struct{}) {
	highest := 0
	for {
		select {
		case <-stop:
			d.record.add("%s used %d MB at most", d.name, highest/1024)
			return
		case <-time.After(10 * time.Millisecond):
		}
		used, err := residentKilobytes(d.process().Pid)
		if err != nil {
			continue
		}
		highest = max(highest, used)
		if used <= memoryLimit {
			continue
		}
		d.record.add("%s uses %d MB and is killed", d.name, used/1024)
		d.signal(syscall.SIGKILL)
		<-d.ended()
		time.Sleep(500 * time.Millisecond)
		if err := d.start(); err != nil {
			d.record.add("%s could not be started: %v", d.name, err)
			return
		}
	}
}

// residentKilobytes returns the memory of a process.
func residentKilobytes(pid int) (int, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		value, found := strings.CutPrefix(lines.Text(), "VmRSS:")
		if found {
			return strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		}
	}
	return 0, os.ErrNotExist
}
