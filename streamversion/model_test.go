package streamversion_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

const (
	// modelStep is the time between two steps of the model.
	modelStep = 500 * time.Millisecond
	// modelStream is how long a stream can be resumed.
	modelStream = 15 * time.Second
	// maxViewAge and maxRuleAge bound the age of what a process knows of runners and rules.
	maxViewAge = 3 * time.Second
	maxRuleAge = 5 * time.Second
)

// modelProcess is one start of a daemon.
type modelProcess struct {
	watch *streamversion.Watch
	// viewAt and ruleAt are when it last read the runners and the rule.
	viewAt, ruleAt time.Time
	versions       []string
	hasRead        bool
	// epochSince is when it saw the store's epoch rise, or zero.
	epoch      uint64
	epochSince time.Time
}

// resumableStream is a stream that some caller may resume.
type resumableStream struct {
	version string
	begunAt time.Time
	// owner is the process that began it, which has recorded it if wasRecorded is true. isRecorded
	// is true if the store holds that record.
	owner                   *modelProcess
	wasRecorded, isRecorded bool
}

// model holds the store and the processes of a system with one service.
type model struct {
	t         *rapid.T
	now       time.Time
	versions  []string // of the runners there are
	processes []*modelProcess
	streams   []*resumableStream

	rule    streamversion.Rule
	hasRule bool
	epoch   uint64
	// copied is the state of the store from which it is restored, and copiedRecords are the
	// streams whose records it holds.
	copied        streamversion.Rule
	copiedRule    bool
	copiedRecords map[*resumableStream]bool
}

// runnerSets are the versions that serve over a release and after it.
var runnerSets = [][]string{{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v3"}, {"v1", "v3"}}

func (m *model) start(isFirst bool) *modelProcess {
	o := streamversion.DefaultWatchOptions()
	o.IsFirstStart = isFirst
	return &modelProcess{watch: streamversion.NewWatch(o, m.now), epoch: m.epoch}
}

// read lets a process read the runners and the rule.
func (m *model) read(p *modelProcess) {
	p.versions, p.viewAt = m.versions, m.now
	var runners []inventory.Runner
	for _, version := range m.versions {
		runners = append(runners, inventory.Runner{Service: "desk", Version: version})
	}
	p.watch.Observe(runners, m.now)
	if m.epoch > p.epoch {
		p.epoch, p.epochSince = m.epoch, m.now
		m.writeAgain(p)
	}
	p.watch.ObserveEpoch(m.epoch, m.now)
	if m.hasRule {
		p.watch.SetRule("desk", m.rule, m.now)
	}
	p.ruleAt, p.hasRead = m.now, true
}

// writeAgain writes the records of a process after a restore.
func (m *model) writeAgain(p *modelProcess) {
	for _, stream := range m.streams {
		if stream.owner == p {
			stream.isRecorded = stream.wasRecorded
		}
	}
}

// begin lets a process begin a stream at a version that it sees.
func (m *model) begin(p *modelProcess) {
	if !p.hasRead || len(p.versions) == 0 {
		return
	}
	version := rapid.SampledFrom(p.versions).Draw(m.t, "version")
	rule, known := p.watch.Rule("desk")
	isRecorded := !known || rule.NeedsRecord(version)
	m.streams = append(m.streams, &resumableStream{
		version: version, begunAt: m.now, owner: p, wasRecorded: isRecorded, isRecorded: isRecorded,
	})
}

// changeRule lets a process write the rule that it finds due, after it has read the store.
func (m *model) changeRule(p *modelProcess) {
	m.read(p)
	next, needed := p.watch.Next("desk", m.now)
	if !needed {
		return
	}
	m.rule, m.hasRule = next, true
	p.watch.SetRule("desk", next, m.now)
}

// restore replaces the store by its copy.
func (m *model) restore() {
	m.epoch++
	m.rule, m.hasRule = m.copied, m.copiedRule
	for _, stream := range m.streams {
		stream.isRecorded = stream.isRecorded && m.copiedRecords[stream]
	}
}

func (m *model) copyStore() {
	m.copied, m.copiedRule, m.copiedRecords = m.rule, m.hasRule, make(map[*resumableStream]bool)
	for _, stream := range m.streams {
		m.copiedRecords[stream] = stream.isRecorded
	}
}

// check finds all streams that can be resumed, as a process does that reads the store now.
func (m *model) check(p *modelProcess) {
	m.read(p)
	rule, known := p.watch.Rule("desk")
	isSettled := p.epochSince.IsZero() || m.now.Sub(p.epochSince) >= streamversion.DefaultWatchOptions().RestoreDelay
	if !known || rule.Default == "" || rule.Epoch != m.epoch || !isSettled {
		return
	}
	for _, stream := range m.streams {
		if stream.isRecorded || m.now.Sub(stream.begunAt) > modelStream || stream.version == rule.Default {
			continue
		}
		m.t.Fatalf("at %v, a stream that %s began at %v is taken for one of %s", m.since(m.now), stream.version, m.since(stream.begunAt), rule.Default)
	}
}

func (m *model) since(at time.Time) time.Duration { return at.Sub(start) }

// step makes one of the things happen that may.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for _, p := range m.processes {
		if m.now.Sub(p.viewAt) >= maxViewAge || m.now.Sub(p.ruleAt) >= maxRuleAge {
			m.read(p)
		}
	}
	i := rapid.IntRange(0, len(m.processes)-1).Draw(m.t, "process")
	p := m.processes[i]
	switch rapid.IntRange(0, 19).Draw(m.t, "action") {
	case 0:
		m.versions = rapid.SampledFrom(runnerSets).Draw(m.t, "runners")
	case 1:
		m.processes[i] = m.start(false)
	case 2:
		for j := range m.processes {
			m.processes[j] = m.start(false)
		}
	case 3:
		m.copyStore()
	case 4:
		if m.now.Second()%4 == 0 {
			m.restore()
		}
	case 5, 6, 7, 8, 9, 10:
		m.begin(p)
	case 11, 12, 13:
		m.check(p)
	default:
		m.changeRule(p)
	}
}

// TestNoStreamIsTakenForAnotherVersion guards against a rule that changes while a stream without a
// record can be resumed: over releases, restarts of processes, kills of all, and restores of the store.
func TestNoStreamIsTakenForAnotherVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: rt, now: start, versions: []string{"v1"}}
		for range 3 {
			m.processes = append(m.processes, m.start(true))
		}
		m.copyStore()
		for range rapid.IntRange(50, 600).Draw(rt, "steps") {
			m.step()
		}
		rt.Log(fmt.Sprint(len(m.streams), " streams"))
	})
}
