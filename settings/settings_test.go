package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/settings"
)

// validFile sets every required key.
const validFile = `# A daemon of one zone.
[Daemon]
Name = entry-a-1
Region = mn-central
Zone = mn-central-a

[Callers]
Address = 127.0.0.1:8080

[Peers]
Address = 127.0.0.1:8081
Interval = 250ms

[Admin]
Address = 127.0.0.1:8082

[Platform]
Log = http://127.0.0.1:9000
VMList = http://127.0.0.1:9000
Cloud = http://127.0.0.1:9000
WeightStore = http://127.0.0.1:9000
`

func TestParseKeepsDefaultsForMissingKeys(t *testing.T) {
	c := qt.New(t)

	parsed, err := settings.Parse("a.ini", []byte(validFile))

	c.Assert(err, qt.IsNil)
	c.Assert(parsed.Daemon.Zone, qt.Equals, "mn-central-a")
	c.Assert(parsed.Peers.Interval, qt.Equals, 250*time.Millisecond)
	c.Assert(parsed.Claims, qt.Equals, settings.Default().Claims)
}

func TestParseReportsEveryFault(t *testing.T) {
	scenarios := []struct {
		name        string
		old         string
		replacement string
		expected    []string
	}{
		{"required key is missing", "Name = entry-a-1\n", "", []string{"[Daemon] Name: the key is required"}},
		{"unknown key", "Interval = 250ms", "Intervall = 250ms", []string{"line 12: [Peers] Intervall: unknown key"}},
		{"unknown section", "[Admin]", "[Admins]", []string{"line 14: [Admins]: unknown section", "[Admin] Address: the key is required"}},
		{"not a duration", "250ms", "soon", []string{`line 12: [Peers] Interval: "soon" is not a duration such as 500ms or 2s`}},
		{"below the smallest value", "250ms", "1ms", []string{"line 12: [Peers] Interval: 1ms is below the smallest value 50ms"}},
		{"unknown mode", "[Admin]", "[Orders]\nMode = Perhaps\n[Admin]", []string{`line 15: [Orders] Mode: "Perhaps" is neither Replace nor Off`}},
		{"three faults at once", "Zone = mn-central-a\n\n[Callers]\nAddress = 127.0.0.1:8080", "Zone = a b\n\n[Callers]\nAddress = localhost\nMaxInFlight = many", []string{
			`line 5: [Daemon] Zone: "a b" is not a name of letters, digits, dots, dashes and underscores`,
			`line 8: [Callers] Address: "localhost" is not an IP number and port such as 127.0.0.1:8080`,
			`line 9: [Callers] MaxInFlight: "many" is not a whole number`,
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			content := strings.Replace(validFile, s.old, s.replacement, 1)
			c.Assert(content, qt.Not(qt.Equals), validFile)

			_, err := settings.Parse("a.ini", []byte(content))

			var faults *settings.FaultsError
			c.Assert(errors.As(err, &faults), qt.IsTrue, qt.Commentf("%v", err))
			var found []string
			for _, fault := range faults.Faults {
				found = append(found, fault.String())
			}
			c.Assert(found, qt.DeepEquals, s.expected)
		})
	}
}

func TestPageDescribesEveryField(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/SETTINGS.md")
	c.Assert(err, qt.IsNil)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			rows++
		}
	}
	for _, field := range settings.Fields() {
		c.Assert(string(page), qt.Contains, settings.Row(field))
	}
	c.Assert(rows, qt.Equals, len(settings.Fields()), qt.Commentf("the page has rows for keys that do not exist"))
}
