package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// process is a command that runs on a goroutine of the test.
type process struct {
	address string
	stop    context.CancelFunc
	ended   <-chan error
}

// launch starts a command on a free port and waits until it listens.
func launch(c *qt.C, arguments ...string) process {
	ctx, stop := context.WithCancel(context.Background())
	c.Cleanup(stop)
	reader, writer := io.Pipe()
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(writer)
	ended := make(chan error, 1)
	go func() {
		err := root.ExecuteContext(ctx)
		_ = writer.CloseWithError(err)
		ended <- err
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	c.Assert(err, qt.IsNil)
	address, isReady := strings.CutPrefix(strings.TrimSpace(line), "ready ")
	c.Assert(isReady, qt.IsTrue)
	return process{address: address, stop: stop, ended: ended}
}

// get returns the status code of the response.
func (p process) get(c *qt.C, path string) int {
	response, err := http.Get("http://" + p.address + path)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

func TestCommandsServeUntilStopped(t *testing.T) {
	vms := filepath.Join(t.TempDir(), "vms.json")
	qt.Assert(t, os.WriteFile(vms, []byte(`{"VMs":[{"Name":"runner-1"}]}`), 0o600), qt.IsNil)
	for _, scenario := range []struct {
		name      string
		arguments []string
		paths     []string
	}{
		{"platform", []string{"platform", "--vms", vms}, []string{
			"/streams/Plans/records", "/vms", "/notices", "/weights/teacher", "/control/faults", "/cloud/control/faults",
		}},
		{"log", []string{"log", "--retained-records", "10"}, []string{"/streams/Plans/records", "/control/faults"}},
		{"engine", []string{"engine", "--speed", "10"}, []string{"/engine/load", "/control/runs"}},
		{"service", []string{"service", "--name", "placements"}, []string{"/rosters", "/control/runs"}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			p := launch(c, scenario.arguments...)
			for _, path := range scenario.paths {
				c.Assert(p.get(c, path), qt.Equals, http.StatusOK, qt.Commentf(path))
			}

			p.stop()

			c.Assert(<-p.ended, qt.IsNil)
		})
	}
}

func TestEngineExitsOnCrash(t *testing.T) {
	c := qt.New(t)
	p := launch(c, "engine", "--exit-on-crash")
	response, err := http.Post("http://"+p.address+"/control/crash", "", http.NoBody)
	if err == nil {
		c.Assert(response.Body.Close(), qt.IsNil)
	}

	err = <-p.ended

	var crashed *CrashedError
	c.Assert(errors.As(err, &crashed), qt.IsTrue)
	c.Assert(exitCode(err), qt.Equals, exitCrashed)
}

func TestMissingFileOfVMsIsReported(t *testing.T) {
	c := qt.New(t)
	root := newRoot()
	root.SetArgs([]string{"platform", "--vms", filepath.Join(c.TempDir(), "missing.json")})
	c.Assert(errors.Is(root.Execute(), os.ErrNotExist), qt.IsTrue)
}
