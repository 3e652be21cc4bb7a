package gossip

import "github.com/cranberrywalk/cranberrywalk/hosting"

// Reporters returns the names under which a daemon receives the demand of others:
// the other daemons of its group, and the other groups.
func Reporters(self Identity, vms []hosting.VM) []string {
	known := newMembers(self)
	known.set(vms)
	names := make([]string, 0, len(known.group)+len(known.groups))
	for _, member := range known.group {
		names = append(names, member.vm.Name)
	}
	for _, group := range known.groups {
		names = append(names, group)
	}
	return names
}
