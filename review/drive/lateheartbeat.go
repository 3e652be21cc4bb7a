package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// drainTime is the bound drain_ms.
	drainTime = 2 * time.Second
	// lostFor is from the heartbeat whose answer is lost to its execution by the store, of at most 6 s.
	lostFor = 5550 * time.Millisecond
	// leaveAfter is from that heartbeat to the report that the runner leaves: the store has been
	// stable for over contact_ms then.
	leaveAfter = 3100 * time.Millisecond
)

// playLateHeartbeat lets the store lose the answer to one heartbeat of a runner and execute it
// seconds later, after the runner has reported that it leaves.
func playLateHeartbeat(r *rig, hasTrouble bool) (bool, error) {
	if err := r.startRunners(4); err != nil {
		return false, err
	}
	if err := r.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	leaving := r.runners[0]
	var callers sync.WaitGroup
	began := time.Now()
	callers.Go(func() { r.sendBursts(began) })
	callers.Go(func() {
		lost := leaving.nextRecord()
		if !hasTrouble {
			leaving.write(lost)
			return
		}
		r.record.add("the answer to heartbeat %v of %s is lost", lost["sequence"], leaving.id)
		time.Sleep(time.Until(began.Add(lostFor)))
		leaving.write(lost)
		r.record.add("the store executes heartbeat %v of %s", lost["sequence"], leaving.id)
	})
	time.Sleep(time.Until(began.Add(leaveAfter)))
	left := leaving.leave()
	r.record.add("%s reports that it leaves, and the store has accepted that", leaving.id)
	callers.Wait()
	late := 0
	for _, run := range leaving.runs() {
		if after := run.at.Sub(left); after > drainTime {
			late++
			r.record.add("%s reached %s %.3f s after the store accepted that it leaves", run.id, leaving.id, after.Seconds())
		}
	}
	r.record.add("%d requests reached %s later than %v after the store accepted that it leaves", late, leaving.id, drainTime)
	return late > 0, nil
}

const (
	// burstCount is the number of bursts of requests, one a second, and burstSize that of the
	// requests of each, of which each daemon gets a part.
	burstCount = 10
	burstSize  = 30
	// burstOffset is when the first one begins.
	burstOffset = 600 * time.Millisecond
)

// sendBursts sends requests in bursts.
func (r *rig) sendBursts(began time.Time) {
	caller := newCaller(r.record)
	var requests sync.WaitGroup
	for burst := range burstCount {
		time.Sleep(time.Until(began.Add(burstOffset + time.Duration(burst)*time.Second)))
		for i := range burstSize {
			requests.Go(func() {
				caller.send(r.daemons[i%len(r.daemons)], message{
					method: http.MethodPost, path: "/confirm/placement", body: []byte("teacher 7"), deadline: time.Second,
				})
			})
			time.Sleep(time.Millisecond)
		}
	}
	requests.Wait()
}
