package main

import (
	"fmt"
	"io"
	"time"

	"gonum.org/v1/gonum/stat"
)

// series is a measurement over growing sizes of one parameter of the system.
type series struct {
	name string
	// unit is what the sizes count.
	unit  string
	sizes []int
	// setup starts a new system with the given size of the parameter.
	setup func(size int) (*system, error)
}

// point is the cost that was measured at one size.
type point struct {
	size int
	cost cost
}

// cost is the resource use of one daemon.
type cost struct {
	// cpuPercent is the share of one core, in percent.
	cpuPercent float64
	// residentMB is the resident memory.
	residentMB float64
	// peerKBPerSecond is the traffic to and from other daemons.
	peerKBPerSecond float64
	// appendsPerSecond and readsPerSecond are the requests to the log service.
	appendsPerSecond float64
	readsPerSecond   float64
}

func allSeries() []series {
	return []series{
		{"runners", "runners in the zone", []int{24, 53, 107, 214}, withRunners},
		{"listed", "VMs listed in other regions", []int{250, 500, 1000, 1890}, withListed},
		{"daemons", "daemons in the zone", []int{2, 4, 8, 16}, withDaemons},
		{"zones", "zones of the region, two daemons each", []int{1, 2, 4, 8}, withZones},
		{"claims", "claims a second at one daemon", []int{5, 20, 50, 100}, withClaims},
		{"changes", "changes of configuration in 10 s", []int{1, 10, 50, 100}, withChanges},
		{"streams", "open streams at one daemon", []int{25, 50, 100, 200}, withStreams},
	}
}

func run(out io.Writer, only string, period time.Duration) error {
	for _, s := range allSeries() {
		if only != "" && s.name != only {
			continue
		}
		points, err := s.measure(period)
		if err != nil {
			return err
		}
		s.print(out, points)
	}
	return nil
}

func (s series) measure(period time.Duration) ([]point, error) {
	var points []point
	for _, size := range s.sizes {
		measured, err := s.measureOne(size, period)
		if err != nil {
			return nil, err
		}
		points = append(points, point{size: size, cost: measured})
	}
	return points, nil
}

func (s series) measureOne(size int, period time.Duration) (cost, error) {
	loaded, err := s.setup(size)
	if err != nil {
		return cost{}, err
	}
	defer loaded.close()
	time.Sleep(settleTime)
	return loaded.measure(period)
}

// measures are the columns of the printed tables.
var measures = []struct {
	name  string
	value func(cost) float64
}{
	{"% of a core", func(c cost) float64 { return c.cpuPercent }},
	{"MB", func(c cost) float64 { return c.residentMB }},
	{"KB/s peers", func(c cost) float64 { return c.peerKBPerSecond }},
	{"appends/s", func(c cost) float64 { return c.appendsPerSecond }},
	{"log reads/s", func(c cost) float64 { return c.readsPerSecond }},
}

// print writes a Markdown table with the slope of each measure, fitted by
// least squares.
func (s series) print(out io.Writer, points []point) {
	fmt.Fprintf(out, "\n### %s\n\n| %s |", s.name, s.unit)
	for _, m := range measures {
		fmt.Fprintf(out, " %s |", m.name)
	}
	fmt.Fprintf(out, "\n| --- | --- | --- | --- | --- | --- |\n")
	for _, p := range points {
		fmt.Fprintf(out, "| %d |", p.size)
		for _, m := range measures {
			fmt.Fprintf(out, " %.2f |", m.value(p.cost))
		}
		fmt.Fprintln(out)
	}
	fmt.Fprint(out, "| slope for each |")
	for _, m := range measures {
		fmt.Fprintf(out, " %.4f |", slope(points, m.value))
	}
	fmt.Fprintln(out)
}

func slope(points []point, value func(cost) float64) float64 {
	var x, y []float64
	for _, p := range points {
		x = append(x, float64(p.size))
		y = append(y, value(p.cost))
	}
	_, beta := stat.LinearRegression(x, y, nil, false)
	return beta
}
