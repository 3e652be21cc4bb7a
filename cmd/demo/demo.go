package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

const (
	binDir       = "bin"
	listsDir     = "examples/demo/"
	demoKey      = "demo-key"
	model        = "teaching-documents"
	placements   = "placements"
	backendCount = 3
	readyWait    = 20 * time.Second
	amendedWait  = 10 * time.Second
	placement    = `{"School": "Khovd 3", "Substitute": "B. Oyuun", "Day": "2026-12-04"}`
	placementKey = "placement-2026-12-04-khovd-3"
)

// demo is a running system and the output for its report.
type demo struct {
	fleet   *fleet.Fleet
	out     io.Writer
	daemons []hosting.VM
}

func run(out io.Writer) error {
	dir, err := os.MkdirTemp("", "cranberrywalk-demo-")
	if err != nil {
		return err
	}
	// A directory that can't be removed does not affect the result.
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.New(fleet.Options{Bin: binDir, Dir: dir, Region: "mn-central"})
	if err != nil {
		return err
	}
	d := &demo{fleet: f, out: out}
	err = d.runSteps()
	failed := f.Close()
	if err != nil {
		return err
	}
	if len(failed) > 0 {
		return &StopError{Processes: failed}
	}
	d.printHeading("everything is stopped, every process ended with code 0")
	return nil
}

// runSteps runs the steps of the demonstration in order.
func (d *demo) runSteps() error {
	steps := []func() error{
		d.startBackends,
		d.startDaemons,
		d.publish,
		d.chat,
		d.confirmTwice,
		d.amend,
		d.printTimeline,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) printHeading(format string, arguments ...any) {
	fmt.Fprintf(d.out, "\n== "+format+"\n", arguments...)
}

func (d *demo) startBackends() error {
	d.printHeading("starting two engines and a plain service")
	backends := []fleet.Backend{
		{Name: "runner-a-1", Zone: "mn-central-a", Class: "reclaimable-small", Reclaimable: true, Price: 0.8, Model: model},
		{Name: "runner-b-1", Zone: "mn-central-b", Class: "on-demand-small", Price: 3, Model: model},
		{Name: "service-a-1", Zone: "mn-central-a", Class: "on-demand-small", Price: 2.4, Service: placements},
	}
	for _, b := range backends {
		vm, err := d.fleet.StartBackend(b)
		if err != nil {
			return err
		}
		fmt.Fprintf(d.out, "%s in %s at %s\n", vm.Name, vm.Zone, vm.Address)
	}
	return nil
}

func (d *demo) startDaemons() error {
	d.printHeading("starting two daemons in two availability zones")
	for _, entry := range []fleet.Daemon{
		{Name: "entry-a-1", Zone: "mn-central-a"},
		{Name: "entry-b-1", Zone: "mn-central-b"},
	} {
		entry.Settings = map[string][]string{"Daemon": {"LeaveDelay = 100ms"}}
		vm, err := d.fleet.StartDaemon(entry)
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, vm)
		fmt.Fprintf(d.out, "%s in %s at %s\n", vm.Name, vm.Zone, vm.Address)
	}
	return nil
}

func (d *demo) publish() error {
	d.printHeading("publishing the lists")
	output, err := d.fleet.RunCommand("publish", "--settings", d.fleet.SettingsPath("entry-a-1"),
		"--plans", listsDir+"plans.json", "--allowances", listsDir+"allowances.json")
	fmt.Fprint(d.out, output)
	if err != nil {
		return err
	}
	for _, vm := range d.daemons {
		if err := fleet.AwaitReady(vm, readyWait); err != nil {
			return err
		}
		if err := fleet.AwaitBackends(vm, backendCount, readyWait); err != nil {
			return err
		}
		fmt.Fprintf(d.out, "%s is ready\n", vm.Name)
	}
	return nil
}

func (d *demo) chat() error {
	d.printHeading("a streamed chat request through %s", d.daemons[0].Name)
	caller := fleet.NewCaller(d.daemons[0], demoKey)
	answer, err := caller.Chat(fleet.ChatRequest{
		Model:     model,
		Messages:  []fleet.Message{{Role: "user", Content: "Prepare a lesson continuity note for grade 4 fractions."}},
		Stream:    true,
		MaxTokens: 24,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%s\nOutcome: %s, first token after %s, %d events\n",
		answer.Text, answer.Outcome, answer.FirstToken.Round(time.Millisecond), answer.Events)
	return expect(answer.Outcome, "Answered")
}

// confirmTwice sends the same request with an idempotency key to both daemons at once
// and checks that the service runs the request exactly once.
func (d *demo) confirmTwice() error {
	d.printHeading("one placement confirmation, sent twice, to both daemons at once")
	answers := make(chan fleet.Answer, len(d.daemons))
	for _, vm := range d.daemons {
		go func() {
			answer, err := fleet.NewCaller(vm, demoKey).PostService(placements, "/confirmations", placementKey, placement)
			if err != nil {
				answer.Outcome = err.Error()
			}
			answers <- answer
		}()
	}
	for range d.daemons {
		answer := <-answers
		fmt.Fprintf(d.out, "%d %s %s\n", answer.Status, answer.Outcome, strings.TrimSpace(answer.Text))
		if err := expect(answer.Outcome, "Answered"); err != nil {
			return err
		}
	}
	runs, err := d.fleet.Runs("service-a-1")
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "the service ran it %d time(s)\n", runs.Total)
	return expect(fmt.Sprint(runs.Total), "1")
}

func (d *demo) amend() error {
	d.printHeading("amending the allowance of the plan")
	start := time.Now()
	output, err := d.fleet.RunCommand("amend", "--settings", d.fleet.SettingsPath("entry-b-1"),
		"--list", "Allowances", "--entry", listsDir+"amended-allowance.json")
	fmt.Fprint(d.out, output)
	if err != nil {
		return err
	}
	for _, vm := range d.daemons {
		plans, err := fleet.AwaitOffset(vm, 3, amendedWait)
		if err != nil {
			return err
		}
		fmt.Fprintf(d.out, "%s: in force at offset %d after %.2f s, priority %d\n",
			vm.Name, plans.Offset, time.Since(start).Seconds(), plans.Allowances[0].Priority)
	}
	return nil
}

func (d *demo) printTimeline() error {
	d.printHeading("the time line of both daemons")
	output, err := d.fleet.RunCommand("timeline", "--settings", d.fleet.SettingsPath("entry-a-1"))
	fmt.Fprint(d.out, output)
	return err
}
