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
	// fleetDaemons and fleetVMs are the fleet's size, in fleetRegions.
	fleetDaemons = 390
	fleetVMs     = 1890
	fleetRegions = 6
	// failuresPerDay and replacementsPerDay are those of all VMs.
	failuresPerDay     = 13
	replacementsPerDay = 220
	// outagesPerDay is how often the log of a region is down for window.
	outagesPerDay = 1
	// year is the time that one seed covers.
	year          = 365
	regionDaemons = fleetDaemons / fleetRegions
)

// event is something that happens to a region's log.
type event struct {
	at    time.Time
	apply func()
}

// Year is what one region saw in a year.
type Year struct {
	// Holes are the deaths that left a hole, DoubleFaults those of them
	// that came in a log outage.
	Holes        int
	DoubleFaults int
	// Misapplied counts records that the fold refused, as in Result.
	Misapplied int
}

// region is the log of one region, with one range for each daemon.
type region struct {
	book   *grant.Book
	offset uint64
	// starts counts the processes of each daemon.
	starts  [regionDaemons]int
	outages []time.Time
	events  []event
	year    Year
}

// RunYear returns how often ranges are left with a hole in a year. With
// isWaiting, a planned replacement waits for the end of a log outage;
// without, the VM is gone before.
func RunYear(memoryDelay time.Duration, isWaiting bool, seed uint64) Year {
	random := rand.New(rand.NewPCG(seed, 2))
	g := &region{book: grant.NewBook(grant.Options{Lifetime: lifetime, MemoryDelay: memoryDelay})}
	moments := func(perDay float64) []time.Time {
		var all []time.Time
		for at := epoch; ; {
			at = at.Add(time.Duration(random.ExpFloat64() / perDay * float64(24*time.Hour)))
			if at.After(epoch.AddDate(0, 0, year)) {
				return all
			}
			all = append(all, at)
		}
	}
	g.outages = moments(outagesPerDay)
	for i := range regionDaemons {
		g.take(i, grant.ProofNone, epoch)
	}
	share := float64(regionDaemons) / fleetVMs
	for _, at := range moments(failuresPerDay * share) {
		g.die(random.IntN(regionDaemons), at)
	}
	for _, at := range moments(replacementsPerDay * share) {
		if daemon := random.IntN(regionDaemons); isWaiting || g.end(at).Equal(at) {
			g.replace(daemon, g.end(at))
		} else {
			g.die(daemon, at)
		}
	}
	slices.SortStableFunc(g.events, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, next := range g.events {
		next.apply()
	}
	return g.year
}

// end returns when the log is back, or the time itself when it is not down.
func (g *region) end(at time.Time) time.Time {
	for _, begin := range g.outages {
		if !at.Before(begin) && at.Before(begin.Add(window)) {
			at = begin.Add(window)
		}
	}
	return at
}

// begin returns the begin of the outage at a time, or the time itself.
func (g *region) begin(at time.Time) time.Time {
	for i := len(g.outages) - 1; i >= 0; i-- {
		if begin := g.outages[i]; !at.Before(begin) && at.Before(begin.Add(window)) {
			at = begin
		}
	}
	return at
}

// die schedules the last record of a daemon and the take of its range once
// its death is proved and the log is up.
func (g *region) die(daemon int, at time.Time) {
	last := g.begin(at).Truncate(aliveInterval)
	taken := g.end(at.Add(proofDelay))
	g.events = append(g.events,
		event{last, func() { g.append(daemon, last, grant.Record{Floor: last}) }},
		event{taken, func() {
			if !g.take(daemon, grant.ProofVMGone, taken) {
				return
			}
			g.year.Holes++
			if !g.end(at).Equal(at) {
				g.year.DoubleFaults++
			}
		}})
}

// replace schedules a release and the take of the free range.
func (g *region) replace(daemon int, at time.Time) {
	g.events = append(g.events, event{at, func() {
		number := g.book.Owner(grant.Range(daemon)).Number
		g.append(daemon, at, grant.Record{Floor: at, Release: &grant.Release{Range: grant.Range(daemon), Number: number}})
		g.take(daemon, grant.ProofNone, at)
	}})
}

// take gives the range of a daemon to its next process. It reports whether
// that opened a new hole.
func (g *region) take(daemon int, proof grant.Proof, at time.Time) bool {
	before := g.book.Owner(grant.Range(daemon))
	g.starts[daemon]++
	g.append(daemon, at, grant.Record{Take: &grant.Take{Range: grant.Range(daemon), Previous: before.Number, Proof: proof}})
	return g.book.Owner(grant.Range(daemon)).HoleUntil.After(before.HoleUntil)
}

// append folds a record of the daemon's current process.
func (g *region) append(daemon int, at time.Time, record grant.Record) {
	record.Daemon, record.Incarnation = strconv.Itoa(daemon), strconv.Itoa(g.starts[daemon])
	record.Sequence = g.offset + 1
	if err := g.book.Fold(g.offset, at, record); err != nil {
		g.year.Misapplied++
	}
	g.offset++
}

// reportHoles prints how often ranges are left with a hole.
func reportHoles(w io.Writer, seeds int) {
	fmt.Fprintf(w, "Holes in a region of %d daemons, %d VM failures and %d planned replacements a day over %d VMs, "+
		"%d log outage of %v a day (assumed).\n\n",
		regionDaemons, failuresPerDay, replacementsPerDay, fleetVMs, outagesPerDay, window)
	fmt.Fprint(w, "| memory delay | planned replacement in an outage | holes a year | of them in a log outage | keys refused by holes, % |\n| --- | --- | --- | --- | --- |\n")
	for _, delay := range []time.Duration{15 * time.Second, 120 * time.Second} {
		for _, isWaiting := range []bool{true, false} {
			var years []Year
			for seed := range uint64(seeds) {
				years = append(years, RunYear(delay, isWaiting, seed+1))
			}
			stop := "waits for the log"
			if !isWaiting {
				stop = "cannot wait"
			}
			fmt.Fprintf(w, "| %v | %s | %s | %s | %s |\n", delay, stop,
				spread(years, "%.0f", func(y Year) float64 { return float64(y.Holes) }),
				spread(years, "%.0f", func(y Year) float64 { return float64(y.DoubleFaults) }),
				spread(years, "%.2f", func(y Year) float64 {
					return percent(y.Holes, 1) * lifetime.Hours() / 24 / regionDaemons / year
				}))
		}
	}
	fmt.Fprintf(w, "\nClaims on the log refuse new keys for the outages themselves: %.2f %% of the time.\n",
		100*outagesPerDay*window.Hours()/24)
}
