package gossip

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

const (
	// FirstBackoff is how long a peer is not called after the first failure.
	FirstBackoff = time.Second
	// MaxBackoff is the largest backoff between calls to a failing peer,
	// before jitter.
	MaxBackoff = 15 * time.Second
	// MaxRegionGroupSize is the largest number of daemons of a region that
	// form one group, which exchanges its reports across zones. In a larger
	// region the group of a daemon is its zone.
	MaxRegionGroupSize = 16
)

// member is the state kept about another daemon.
type member struct {
	vm hosting.VM
	// failures counts the failed calls since the last message from the peer.
	failures int
	// retryAt is when the backoff after a failed call ends.
	retryAt time.Time
	// ackedSequence is the sequence up to which the peer is known to hold
	// this daemon's notices.
	ackedSequence uint64
	// ackedVersion is the version up to which the peer is known to hold this
	// daemon's own report.
	ackedVersion uint64
	// inGroup is true when the peer belongs to this daemon's group.
	inGroup bool
	// sameGroupHash is true when the peer's last message had the same group
	// hash, so that both list the reporters in the same order.
	sameGroupHash bool
}

// members holds the other daemons, ordered by name.
type members struct {
	self Identity
	// group holds the daemons that exchange reports with this one, crossZone
	// those of the same region outside the group, and crossRegion those of
	// other regions.
	group       []*member
	crossZone   []*member
	crossRegion []*member
	byName      map[string]*member
	// ownGroup is the name of the daemon's group.
	ownGroup string
	// reporterIDs holds the IDs of the reporters in ascending order: the
	// daemons of the group and the other groups. groupHash is their hash.
	reporterIDs []ID
	groupHash   uint32
	// groups maps the IDs of the other groups to their names. A group is a
	// region of up to MaxRegionGroupSize daemons, or a zone of a larger one.
	groups map[ID]string
	// backends holds the backend servers in the zones of the group.
	backends []hosting.VM
	// names maps IDs to the names of all listed VMs.
	names map[ID]string
}

func newMembers(self Identity) members {
	return members{
		self:   self,
		byName: make(map[string]*member),
		groups: make(map[ID]string),
		names:  map[ID]string{NewID(self.Daemon): self.Daemon},
	}
}

// set replaces the VMs and keeps the state of daemons that remain listed.
func (m *members) set(vms []hosting.VM) {
	before := m.byName
	*m = newMembers(m.self)
	daemons := slices.Clone(vms)
	slices.SortFunc(daemons, func(a, b hosting.VM) int { return cmp.Compare(a.Name, b.Name) })
	counts := countRegions(daemons)
	m.ownGroup = groupName(m.self.Region, m.self.Zone, counts)
	for _, vm := range daemons {
		m.names[NewID(vm.Name)] = vm.Name
		group := groupName(vm.Region, vm.Zone, counts)
		switch {
		case vm.Role != hosting.RoleEntry && group == m.ownGroup:
			m.backends = append(m.backends, vm)
		case vm.Role == hosting.RoleEntry && vm.Name != m.self.Daemon:
			m.add(vm, before[vm.Name], group)
		}
	}
	m.updateReporterIDs()
}

// updateReporterIDs recomputes the reporter IDs and their hash.
func (m *members) updateReporterIDs() {
	m.reporterIDs = []ID{NewID(m.self.Daemon)}
	for _, member := range m.group {
		m.reporterIDs = append(m.reporterIDs, NewID(member.vm.Name))
	}
	m.reporterIDs = slices.AppendSeq(m.reporterIDs, maps.Keys(m.groups))
	slices.Sort(m.reporterIDs)
	var encoded []byte
	for _, id := range m.reporterIDs {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(id))
	}
	m.groupHash = uint32(xxhash.Sum64(encoded))
}

// isReporter reports whether the ID identifies a daemon of the group or another
// group.
func (m *members) isReporter(id ID) bool {
	_, found := slices.BinarySearch(m.reporterIDs, id)
	return found
}

func (m *members) add(vm hosting.VM, known *member, group string) {
	if known == nil {
		known = &member{}
	}
	known.vm = vm
	known.inGroup = group == m.ownGroup
	m.byName[vm.Name] = known
	switch {
	case known.inGroup:
		m.group = append(m.group, known)
		return
	case vm.Region != m.self.Region:
		m.crossRegion = append(m.crossRegion, known)
	default:
		m.crossZone = append(m.crossZone, known)
	}
	m.groups[NewID(group)] = group
}

// isLarge reports whether the group, with this daemon, has more than
// MaxRegionGroupSize daemons.
func (m *members) isLarge() bool { return len(m.group) >= MaxRegionGroupSize }

// groupName returns the name of the group that a zone belongs to.
func groupName(region, zone string, counts map[string]int) string {
	if counts[region] <= MaxRegionGroupSize {
		return region
	}
	return region + "/" + zone
}

// pick returns a random member that is not in backoff, or nil.
func pick(from []*member, random *rand.Rand, now time.Time) *member {
	var callable []*member
	for _, member := range from {
		if !now.Before(member.retryAt) {
			callable = append(callable, member)
		}
	}
	if len(callable) == 0 {
		return nil
	}
	return callable[random.IntN(len(callable))]
}

// backOff delays the next call to the member, exponentially longer with each
// failure in a row and with jitter of up to a quarter of the delay.
func (m *member) backOff(random *rand.Rand, now time.Time) {
	delay := FirstBackoff
	for range min(m.failures, 10) {
		delay = min(2*delay, MaxBackoff)
	}
	m.failures++
	jitter := time.Duration(random.Int64N(int64(delay/4) + 1))
	m.retryAt = now.Add(delay + jitter)
}

// resetBackoff clears the failures and the backoff, and reports whether there
// were any failures.
func (m *member) resetBackoff() bool {
	found := m.failures > 0
	m.failures = 0
	m.retryAt = time.Time{}
	return found
}

// countRegions counts the daemons of each region.
func countRegions(vms []hosting.VM) map[string]int {
	counts := make(map[string]int)
	for _, vm := range vms {
		if vm.Role == hosting.RoleEntry {
			counts[vm.Region]++
		}
	}
	return counts
}

// nearest implements Core.Nearest.
func (m *members) nearest(limit int, random *rand.Rand) []hosting.VM {
	var nearest []hosting.VM
	for _, group := range [][]*member{m.group, m.crossZone, m.crossRegion} {
		for _, i := range random.Perm(len(group)) {
			if len(nearest) == limit {
				return nearest
			}
			nearest = append(nearest, group[i].vm)
		}
	}
	return nearest
}
