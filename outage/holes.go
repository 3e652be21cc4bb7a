package outage

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/grant"
)

const (
	// fleetDaemons and fleetVMs are the size of the fleet, over fleetRegions.
	fleetDaemons = 390
	fleetVMs     = 1890
	fleetRegions = 6
	// failuresPerDay and replacementsPerDay are the totals over all VMs.
	failuresPerDay     = 13
	replacementsPerDay = 220
	// outagesPerDay is how often the log of a region is down, each time for
	// faultWindow.
	outagesPerDay = 1
	// daysPerYear is the simulated time of one seed in days.
	daysPerYear   = 365
	regionDaemons = fleetDaemons / fleetRegions
)

// regionEvent is a scheduled change of a region's log.
type regionEvent struct {
	at    time.Time
	apply func()
}

// YearResult counts the holes of one region in a year.
type YearResult struct {
	// Holes counts the deaths that left a hole. DoubleFaults counts such deaths
	// during a log outage.
	Holes        int
	DoubleFaults int
	// Rejected counts records that the state rejected, as in Result.
	Rejected int
}

// region is the log of one region, with one range for each daemon.
type region struct {
	state  *grant.State
	offset uint64
	// starts counts the process starts of each daemon.
	starts  [regionDaemons]int
	outages []time.Time
	events  []regionEvent
	year    YearResult
}

// RunYear simulates how often ranges are left with a hole in a year. With
// waitsForLog, a planned replacement waits for the end of a log outage; without it,
// the VM is stopped during the outage, which counts as a death.
func RunYear(memoryDelay time.Duration, waitsForLog bool, seed uint64) YearResult {
	random := rand.New(rand.NewPCG(seed, 2))
	r := &region{state: grant.NewState(grant.Options{Lifetime: lifetime, MemoryDelay: memoryDelay})}
	poissonTimes := func(perDay float64) []time.Time {
		var all []time.Time
		for at := epoch; ; {
			at = at.Add(time.Duration(random.ExpFloat64() / perDay * float64(24*time.Hour)))
			if at.After(epoch.AddDate(0, 0, daysPerYear)) {
				return all
			}
			all = append(all, at)
		}
	}
	r.outages = poissonTimes(outagesPerDay)
	for i := range regionDaemons {
		r.takeRange(i, grant.ProofNone, epoch)
	}
	share := float64(regionDaemons) / fleetVMs
	for _, at := range poissonTimes(failuresPerDay * share) {
		r.scheduleDeath(random.IntN(regionDaemons), at)
	}
	for _, at := range poissonTimes(replacementsPerDay * share) {
		if daemon := random.IntN(regionDaemons); waitsForLog || r.outageEnd(at).Equal(at) {
			r.scheduleReplacement(daemon, r.outageEnd(at))
		} else {
			r.scheduleDeath(daemon, at)
		}
	}
	slices.SortStableFunc(r.events, func(a, b regionEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, next := range r.events {
		next.apply()
	}
	return r.year
}

// outageEnd returns the end of the log outage at a time, or the time itself when
// the log is up.
func (r *region) outageEnd(at time.Time) time.Time {
	for _, begin := range r.outages {
		if !at.Before(begin) && at.Before(begin.Add(faultWindow)) {
			at = begin.Add(faultWindow)
		}
	}
	return at
}

// outageBegin returns the start of the log outage at a time, or the time itself when
// the log is up.
func (r *region) outageBegin(at time.Time) time.Time {
	for i := len(r.outages) - 1; i >= 0; i-- {
		if begin := r.outages[i]; !at.Before(begin) && at.Before(begin.Add(faultWindow)) {
			at = begin
		}
	}
	return at
}

// scheduleDeath schedules the last record of a daemon, and the takeover of its range
// once its death is proved and the log is up.
func (r *region) scheduleDeath(daemon int, at time.Time) {
	lastRecord := r.outageBegin(at).Truncate(heartbeatInterval)
	taken := r.outageEnd(at.Add(proofDelay))
	r.events = append(r.events,
		regionEvent{lastRecord, func() { r.appendRecord(daemon, lastRecord, grant.Record{Floor: lastRecord}) }},
		regionEvent{taken, func() {
			if !r.takeRange(daemon, grant.ProofVMGone, taken) {
				return
			}
			r.year.Holes++
			if !r.outageEnd(at).Equal(at) {
				r.year.DoubleFaults++
			}
		}})
}

// scheduleReplacement schedules the release of a daemon's range and its takeover by
// the next process.
func (r *region) scheduleReplacement(daemon int, at time.Time) {
	r.events = append(r.events, regionEvent{at, func() {
		number := r.state.CurrentGrant(grant.Range(daemon)).Number
		r.appendRecord(daemon, at, grant.Record{Floor: at, Release: &grant.Release{Range: grant.Range(daemon), Number: number}})
		r.takeRange(daemon, grant.ProofNone, at)
	}})
}

// takeRange transfers the range of a daemon to the daemon's next process. It reports
// whether the transfer left a new hole.
func (r *region) takeRange(daemon int, proof grant.Proof, at time.Time) bool {
	before := r.state.CurrentGrant(grant.Range(daemon))
	r.starts[daemon]++
	r.appendRecord(daemon, at, grant.Record{Take: &grant.Take{Range: grant.Range(daemon), Previous: before.Number, Proof: proof}})
	return r.state.CurrentGrant(grant.Range(daemon)).HoleUntil.After(before.HoleUntil)
}

// appendRecord applies a record of the daemon's current process.
func (r *region) appendRecord(daemon int, at time.Time, record grant.Record) {
	record.Daemon, record.Incarnation = strconv.Itoa(daemon), strconv.Itoa(r.starts[daemon])
	record.Sequence = r.offset + 1
	if err := r.state.Apply(r.offset, at, record); err != nil {
		r.year.Rejected++
	}
	r.offset++
}

// reportHoles prints the table of how often ranges are left with a hole.
func reportHoles(w io.Writer, seeds int) {
	fmt.Fprintf(w, "Holes in a region of %d daemons, %d VM failures and %d planned replacements a day over %d VMs, "+
		"%d log outage of %v a day (assumed).\n\n",
		regionDaemons, failuresPerDay, replacementsPerDay, fleetVMs, outagesPerDay, faultWindow)
	fmt.Fprint(w, "| memory delay | planned replacement in an outage | holes a year | of them in a log outage | keys refused by holes, % |\n| --- | --- | --- | --- | --- |\n")
	for _, delay := range []time.Duration{15 * time.Second, 120 * time.Second} {
		for _, waitsForLog := range []bool{true, false} {
			var years []YearResult
			for seed := range uint64(seeds) {
				years = append(years, RunYear(delay, waitsForLog, seed+1))
			}
			replacement := "waits for the log"
			if !waitsForLog {
				replacement = "cannot wait"
			}
			fmt.Fprintf(w, "| %v | %s | %s | %s | %s |\n", delay, replacement,
				formatMedianAndRange(years, "%.0f", func(y YearResult) float64 { return float64(y.Holes) }),
				formatMedianAndRange(years, "%.0f", func(y YearResult) float64 { return float64(y.DoubleFaults) }),
				formatMedianAndRange(years, "%.2f", func(y YearResult) float64 {
					return percent(y.Holes, 1) * lifetime.Hours() / 24 / regionDaemons / daysPerYear
				}))
		}
	}
	fmt.Fprintf(w, "\nClaims on the log refuse new keys for the outages themselves: %.2f %% of the time.\n",
		100*outagesPerDay*faultWindow.Hours()/24)
}
