package examples_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/settings"
)

// TestExamplesAreValid loads every example with the parser that the program uses.
func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("*/*")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		c.Run(file, func(c *qt.C) { c.Assert(loadExample(c, file), qt.IsNil) })
	}
}

func loadExample(c *qt.C, file string) error {
	content, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	name := filepath.Base(file)
	switch {
	case strings.HasSuffix(name, ".ini"):
		_, err = settings.Load(file)
	case strings.HasSuffix(name, "plans.json"):
		_, err = plan.DecodePlans(content)
	case name == "allowances.json":
		_, err = plan.DecodeAllowances(content)
	case name == "amended-allowance.json":
		_, err = plan.DecodeAllowances([]byte("[" + string(content) + "]"))
	}
	return err
}
