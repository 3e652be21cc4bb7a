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
	// FirstBackoff is how long a peer is left alone after the first failure.
	FirstBackoff = time.Second
	// MaxBackoff bounds the time between tries to reach a peer.
	MaxBackoff = 15 * time.Second
	// WideGroupDaemons is the largest number of daemons of a region that
	// exchange their reports across its zones. In a larger region the group
	// of a daemon is its zone.
	WideGroupDaemons = 16
)

// member is another daemon.
type member struct {
	vm hosting.VM
	// failures counts the failed calls since the last message.
	failures int
	// retryAt is when a peer that failed may be called again.
	retryAt time.Time
	// told is the sequence of the last notice that the peer holds.
	told uint64
	// given is the version of the daemon's own report that the peer holds.
	given uint64
	// inGroup says that the peer belongs to the group.
	inGroup bool
	// sameGroup says that the peer's last message had the group's hash.
	sameGroup bool
}

// members holds the other daemons, ordered by name.
type members struct {
	self Identity
	// group holds the daemons that exchange reports with this one,
	// neighbours those of the other zones of the region, and remotes those
	// of other regions.
	group      []*member
	neighbours []*member
	remotes    []*member
	byName     map[string]*member
	// own is the name of the daemon's group.
	own string
	// groupIDs holds the IDs of the reporters: the daemons of the group and
	// the other groups, in rising order. groupHash is their hash.
	groupIDs  []ID
	groupHash uint32
	// groups maps the IDs of the other groups to their names. A group is a
	// zone, or a region that is small enough.
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

// set replaces the VMs. What is known about daemons that stay is kept.
func (m *members) set(vms []hosting.VM) {
	before := m.byName
	*m = newMembers(m.self)
	daemons := slices.Clone(vms)
	slices.SortFunc(daemons, func(a, b hosting.VM) int { return cmp.Compare(a.Name, b.Name) })
	counts := countRegions(daemons)
	m.own = groupName(m.self.Region, m.self.Zone, counts)
	for _, vm := range daemons {
		m.names[NewID(vm.Name)] = vm.Name
		group := groupName(vm.Region, vm.Zone, counts)
		switch {
		case vm.Role != hosting.RoleEntry && group == m.own:
			m.backends = append(m.backends, vm)
		case vm.Role == hosting.RoleEntry && vm.Name != m.self.Daemon:
			m.add(vm, before[vm.Name], group)
		}
	}
	m.sumGroup()
}

// sumGroup lists and hashes the reporters.
func (m *members) sumGroup() {
	m.groupIDs = []ID{NewID(m.self.Daemon)}
	for _, member := range m.group {
		m.groupIDs = append(m.groupIDs, NewID(member.vm.Name))
	}
	m.groupIDs = slices.AppendSeq(m.groupIDs, maps.Keys(m.groups))
	slices.Sort(m.groupIDs)
	var encoded []byte
	for _, id := range m.groupIDs {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(id))
	}
	m.groupHash = uint32(xxhash.Sum64(encoded))
}

// isReporter reports whether the ID is that of a daemon of the group or of
// another group.
func (m *members) isReporter(id ID) bool {
	_, found := slices.BinarySearch(m.groupIDs, id)
	return found
}

func (m *members) add(vm hosting.VM, known *member, group string) {
	if known == nil {
		known = &member{}
	}
	known.vm = vm
	known.inGroup = group == m.own
	m.byName[vm.Name] = known
	switch {
	case known.inGroup:
		m.group = append(m.group, known)
		return
	case vm.Region != m.self.Region:
		m.remotes = append(m.remotes, known)
	default:
		m.neighbours = append(m.neighbours, known)
	}
	m.groups[NewID(group)] = group
}

// isLarge reports whether the group has more daemons than a wide group.
func (m *members) isLarge() bool { return len(m.group) >= WideGroupDaemons }

// groupName returns the name of the group of a zone.
func groupName(region, zone string, counts map[string]int) string {
	if counts[region] <= WideGroupDaemons {
		return region
	}
	return region + "/" + zone
}

// pick returns a random member that may be called now, or nil.
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

// failed makes the member wait longer with each failure in a row.
func (m *member) failed(random *rand.Rand, now time.Time) {
	delay := FirstBackoff
	for range min(m.failures, 10) {
		delay = min(2*delay, MaxBackoff)
	}
	m.failures++
	jitter := time.Duration(random.Int64N(int64(delay/4) + 1))
	m.retryAt = now.Add(delay + jitter)
}

// reached clears what failures left behind and reports whether there was any.
func (m *member) reached() bool {
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

// nearest returns up to most daemons: first random ones of the group, then of
// the other zones, then of other regions.
func (m *members) nearest(most int, random *rand.Rand) []hosting.VM {
	var nearest []hosting.VM
	for _, group := range [][]*member{m.group, m.neighbours, m.remotes} {
		for _, i := range random.Perm(len(group)) {
			if len(nearest) == most {
				return nearest
			}
			nearest = append(nearest, group[i].vm)
		}
	}
	return nearest
}
