package settings_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/settings"
)

// TestEveryFieldIsUsed searches the sources of daemon for each key. A documented key
// that no code reads would have no effect when an operator sets it.
func TestEveryFieldIsUsed(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("../daemon/*.go")
	c.Assert(err, qt.IsNil)
	var source []byte
	for _, file := range files {
		content, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		source = append(source, content...)
	}
	for _, field := range settings.Fields() {
		pattern := regexp.MustCompile(`\b` + field.Section + `\.` + field.Key + `\b`)
		c.Check(pattern.Match(source), qt.IsTrue, qt.Commentf("%s.%s is never read", field.Section, field.Key))
	}
}
