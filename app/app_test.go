package app_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/app"
)

const settingsFile = "../examples/mn-central/entry-a-1.ini"

func TestExitCodesAndMessages(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		qt.Assert(t, os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
		return path
	}
	badSettings := write("bad.ini", "[Daemon]\nName = a b\n")
	content, err := os.ReadFile(settingsFile)
	qt.Assert(t, err, qt.IsNil)
	// No process listens on port 1.
	logDown := write("down.ini", strings.ReplaceAll(string(content), ":9000", ":1"))
	notAList := write("nolist.json", "{}")
	badEntry := write("entry.json", `[{"Name": "X", "FirstToken": "soon"}]`)
	scenarios := []struct {
		name      string
		arguments []string
		code      int
		message   string
	}{
		{"release", []string{"version"}, 0, app.Version},
		{"valid settings", []string{"check", "--settings", settingsFile}, 0, "no faults"},
		{"invalid settings", []string{"check", "--settings", badSettings}, 1, `line 2: [Daemon] Name: "a b"`},
		{"missing settings file", []string{"check", "--settings", "nowhere.ini"}, 1, "nowhere.ini can't be read"},
		{"missing flag", []string{"check"}, 1, `required flag(s) "settings"`},
		{"unknown flag", []string{"check", "--bogus"}, 1, "unknown flag: --bogus"},
		{"unknown command", []string{"bogus"}, 1, `unknown command "bogus"`},
		{"nothing to publish", []string{"publish", "--settings", settingsFile}, 1, "plans allowances"},
		{"file without a list", []string{"publish", "--settings", settingsFile, "--plans", notAList}, 1, `invalid change: list "Plans", `},
		{"entry with an invalid field", []string{"publish", "--settings", settingsFile, "--plans", badEntry}, 1, `list "Plans", entry "X", field "FirstToken", "soon"`},
		{"unknown list", []string{"amend", "--settings", settingsFile, "--list", "Foo", "--entry", badEntry}, 1, `"Foo" is not a list`},
		{"log service is down", []string{"plans", "--settings", logDown}, 2, "log is unavailable"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			var out, failures bytes.Buffer
			code := app.Run(s.arguments, &out, &failures)
			c.Assert(out.String()+failures.String(), qt.Contains, s.message)
			c.Assert(code, qt.Equals, s.code)
		})
	}
}
