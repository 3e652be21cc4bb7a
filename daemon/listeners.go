package daemon

import (
	"net"

	"github.com/cranberrywalk/cranberrywalk/admin"
	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/connlimit"
	"github.com/cranberrywalk/cranberrywalk/front"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/portlimit"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// headerSlack is the ratio of the header size that the HTTP server reads to the
// size that callers may send.
const headerSlack = 4

// addListeners adds the HTTP servers.
func (d *Daemon) addListeners() {
	s := d.settings
	options := front.Options{
		MaxBodyBytes:    s.Callers.MaxBodyBytes,
		MaxHeaderBytes:  s.Callers.MaxHeaderBytes,
		MaxInFlight:     s.Callers.MaxInFlight,
		DefaultDeadline: s.Callers.DefaultDeadline,
		BodyTimeout:     s.Callers.ReadTimeout,
		Bodies:          buffer.NewBodies(buffer.BodyOptionsFor(s.Daemon.MemoryBytes)),
	}
	callers := front.New(d.Common, options, d.configuration, d.admitter, d.dispatcher)
	d.callers = callerserver.New(d.Common, callerserver.Options{
		MaxHeaderTime: s.Callers.ReadTimeout,
		// Up to this size, the front package rejects headers with a typed problem.
		MaxHeaderBytes: headerSlack * s.Callers.MaxHeaderBytes,
		HeaderLimit:    func() int { return headerSlack / 2 * s.Callers.MaxHeaderBytes },
		Headers:        buffer.New(buffer.HeaderOptionsFor(s.Daemon.MemoryBytes)),
		MaxConnections: connlimit.CallersFor(buffer.ConnectionsFor(s.Daemon.MemoryBytes), s.Daemon.MaxDescriptors),
	}, callers.Handler())
	operators := admin.New(d.Common, admin.Sources{
		Ready:    d.Ready,
		Plans:    d.configuration.State,
		Backends: func() []roster.Member { return d.rosterWatcher.Roster().Backends() },
		Peers:    func() []hosting.VM { return d.rosterWatcher.Roster().Peers() },
		Timeline: d.events.Entries,
	})
	d.admin = portlimit.NewServer(operators.Handler())
	d.admin.Addr = s.Admin.Address
}

// limitPeers bounds the connections of other daemons and their messages.
func (d *Daemon) limitPeers(listener net.Listener) net.Listener {
	s := d.settings.Daemon
	return portlimit.New(d.Common, portlimit.Options{
		Name: "Peers", MaxConnections: connlimit.PeersFor(s.MaxDescriptors), Requests: buffer.New(buffer.MessageOptionsFor(s.MemoryBytes)),
	}, listener)
}
