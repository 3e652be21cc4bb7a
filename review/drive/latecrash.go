package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	contactTime = 3 * time.Second
	// crashDelay is from the begin of a request that crashes runners to the crash.
	crashDelay = 400 * time.Millisecond
	// runnerDownTime is from a crash to the start of another runner.
	runnerDownTime = 2 * time.Second
	// crashingRequests is the number of times that the request comes, and crashingInterval the
	// time between two of them.
	crashingRequests = 10
	crashingInterval = 3 * time.Second
	// maxLateRetries is how many retries the rule allows.
	maxLateRetries = 3
)

// crashes holds what is known of the request that crashes runners.
type crashes struct {
	mutex sync.Mutex
	// runs holds the times at which it began to run, and crashed those at which a runner crashed.
	runs    []arrival
	crashed []time.Time
}

// playLateCrash sends a request, again and again, that crashes each runner some events after it
// has begun to run it.
func playLateCrash(r *rig, hasTrouble bool) (bool, error) {
	seen := &crashes{}
	for range 6 {
		if _, err := r.addCrashingRunner(seen, hasTrouble); err != nil {
			return false, err
		}
	}
	if err := r.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	caller := newCaller(r.record)
	var requests sync.WaitGroup
	for i := range crashingRequests {
		requests.Go(func() {
			caller.send(r.daemons[i%len(r.daemons)], message{
				method: http.MethodPost, path: streamPath, body: []byte(poison), deadline: 15 * time.Second,
			})
		})
		time.Sleep(crashingInterval)
	}
	requests.Wait()
	return seen.isBroken(r.record), nil
}

// addCrashingRunner starts a runner that crashes on the request, and that is followed by another
// one.
func (r *rig) addCrashingRunner(seen *crashes, hasTrouble bool) (*runner, error) {
	return r.addRunner(func(n *runner) {
		if hasTrouble {
			n.crashAfter = crashDelay
		}
		n.onRun = func(id string, body []byte) {
			if string(body) != poison {
				return
			}
			seen.add(id)
			if hasTrouble {
				time.AfterFunc(crashDelay, func() { r.replaceCrashed(n, seen) })
			}
		}
	})
}

func (c *crashes) add(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runs = append(c.runs, arrival{id: id, at: time.Now()})
}

// replaceCrashed records that a runner has crashed, and starts another one after a while. The
// store drops the record of the crashed one after three heartbeats.
func (r *rig) replaceCrashed(n *runner, seen *crashes) {
	r.record.add("%s crashes", n.id)
	seen.mutex.Lock()
	seen.crashed = append(seen.crashed, time.Now())
	seen.mutex.Unlock()
	time.AfterFunc(3*heartbeat, func() { r.store.DeleteRunner(n.id) })
	time.Sleep(runnerDownTime)
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	if _, err := r.addCrashingRunner(seen, true); err != nil {
		r.record.add("no runner took the place of %s: %v", n.id, err)
	}
}

// isBroken reports whether the request has reached runners too often, later than contactTime
// after the third crash. Only those runs count that are repeats within one attempt of the caller.
func (c *crashes) isBroken(record *record) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record.add("%d runs of the request, %d crashes", len(c.runs), len(c.crashed))
	if len(c.crashed) < 3 {
		return false
	}
	bound := c.crashed[2].Add(contactTime)
	first := make(map[string]bool)
	late, repeats := 0, 0
	for _, run := range c.runs {
		isRepeat := first[run.id]
		first[run.id] = true
		if run.at.Before(bound) {
			continue
		}
		late++
		if isRepeat {
			repeats++
		}
	}
	record.add("later than %v after the third crash: %d runs, of which %d are repeats by the daemons", contactTime, late, repeats)
	return repeats > maxLateRetries
}
