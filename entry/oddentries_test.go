package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// oddEntry is a record among those of the runners that names no runner to use.
type oddEntry struct{ key, value string }

// entryOf returns the JSON text of an entry of a service with an address.
func entryOf(address, slots, more string) string {
	return `{"service":"desk","address":"` + address + `","zone":"zone-1","version":"v1","slots":` + slots +
		`,"state":"ready","cold_remaining_ms":0,"sequence":1` + more + `}`
}

// oddEntries returns entries that name no runner. Some have the address of a server that
// must get no request.
func oddEntries(address string) []oddEntry {
	host, _, _ := strings.Cut(address, ":")
	return []oddEntry{
		{"a-odd-nested", `{"service":` + strings.Repeat("[", 130000) + strings.Repeat("]", 130000) + `}`},
		{"a-odd-open", strings.Repeat(`{"a":`, 50000)},
		{"a-odd-unknown", entryOf(address, "8", `,"later":`+strings.Repeat("[", 120000)+strings.Repeat("]", 120000))},
		{"a-odd-slots", entryOf(address, "1e308", "")},
		{"a-odd-number", entryOf(address, "1e400", "")},
		{"a-odd-digits", entryOf(address, strings.Repeat("9", 200000), "")},
		{"a-odd-born", entryOf(address, "8", `,"born":1e300`)},
		{"a-odd-port", entryOf(host+":99999", "8", "")},
		{"a-odd-named-port", entryOf(host+":http", "8", "")},
		{"a-odd-path", entryOf(address+"/x", "8", "")},
		{"a-odd-text", `"text"`},
		{"a-odd-bytes", "\xff\xfe\x00"},
		{"a-odd\r\nServer-Leaving: 1", entryOf(address, "8", "")},
		{"a-odd\xff", entryOf(address, "8", "")},
		{"", entryOf(address, "8", "")},
		{strings.Repeat("\xf8", 255), entryOf(address, "8", "")},
	}
}

// checkSound sends requests and checks that the runners answer all of them and that the server of the odd
// entries gets none.
func (s *testSystem) checkSound(stray *standin.Runner, count int) {
	s.c.Helper()
	for range count {
		for _, d := range s.daemons {
			s.c.Check(s.send(d, deskRoute+"a", "key-1").status, qt.Equals, http.StatusOK)
		}
	}
	s.c.Check(stray.ReceivedRequests(), qt.HasLen, 0)
}

// TestOddEntriesLeaveSoundRunners guards against daemons that end, use an entry that names no
// runner, or no longer follow the list after odd entries were written among the sound ones.
func TestOddEntriesLeaveSoundRunners(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		isListed bool
	}{{"listed", true}, {"followed", false}} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			first, second, stray := s.startRunner(answerScript), s.startRunner(answerScript), s.startRunner(answerScript)
			s.putRunner(first, false)
			putOdd := func() {
				for _, odd := range oddEntries(stray.Address()) {
					s.store.Put(standin.TopicRunners, odd.key, []byte(odd.value))
				}
			}
			if scenario.isListed {
				putOdd()
				s.store.DeleteHistory(standin.TopicRunners)
			}
			s.start(0)
			s.start(1)
			s.awaitReady()
			putOdd()
			s.checkSound(stray, 30)
			s.putRunner(second, false)
			s.putRunner(first, true)
			time.Sleep(applyTime)
			before := len(first.ReceivedRequests())
			s.checkSound(stray, 30)
			s.c.Check(len(first.ReceivedRequests()), qt.Equals, before)
			s.c.Check(len(second.ReceivedRequests()) >= 60, qt.IsTrue)
		})
	}
}
