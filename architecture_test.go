package main_test

import (
	"encoding/json"
	"io"
	"os/exec"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const module = "github.com/cranberrywalk/cranberrywalk"

// corePackages have no input or output.
var corePackages = []string{
	"claim", "grant", "lease", "limit", "peer/gossip", "placement", "plan", "prefix", "request",
	"retry", "roster", "route", "suspect", "timeline",
}

// forbidden are the packages, with those below them, that bring input or
// output into the core.
var forbidden = []string{
	"net", "net/http", "os", "k8s.io/klog/v2", "storj.io/drpc", "github.com/ThreeDotsLabs/watermill",
}

// allowedBelow are packages of this module that the core uses for types only.
var allowedBelow = []string{module + "/telemetry", module + "/hosting", module + "/clock"}

type listedPackage struct {
	ImportPath string
	Imports    []string
}

// TestCoreHasNoInputOrOutput asks the go tool what the core imports, directly
// or through other packages of the module.
func TestCoreHasNoInputOrOutput(t *testing.T) {
	c := qt.New(t)
	packages := listDependencies(c)
	c.Assert(len(packages) >= len(corePackages), qt.IsTrue)
	for _, p := range packages {
		if slices.Contains(allowedBelow, p.ImportPath) {
			continue
		}
		for _, imported := range p.Imports {
			c.Check(isForbidden(imported), qt.IsFalse, qt.Commentf("%s imports %s", p.ImportPath, imported))
		}
	}
}

func listDependencies(c *qt.C) []listedPackage {
	arguments := []string{"list", "-deps", "-json=ImportPath,Imports"}
	for _, name := range corePackages {
		arguments = append(arguments, module+"/"+name)
	}
	output, err := exec.Command("go", arguments...).Output()
	c.Assert(err, qt.IsNil)
	var packages []listedPackage
	decoder := json.NewDecoder(strings.NewReader(string(output)))
	for {
		var p listedPackage
		err := decoder.Decode(&p)
		if err == io.EOF {
			return packages
		}
		c.Assert(err, qt.IsNil)
		if strings.HasPrefix(p.ImportPath, module+"/") {
			packages = append(packages, p)
		}
	}
}

func isForbidden(imported string) bool {
	return slices.ContainsFunc(forbidden, func(name string) bool {
		return imported == name || strings.HasPrefix(imported, name+"/") && name != "os"
	})
}
