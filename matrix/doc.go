// Package matrix tests fault tolerance: it injects every fault at every step of a
// request, a configuration change and an order, and checks the invariants after
// each case.
//
// A case runs the real components of two or three daemons in one process: the
// dispatcher with its client of backend servers, the claimer, the roster, the gossip
// with peers and the configuration. The log service, the network between the daemons,
// the backend servers on loopback and the callers are small fakes that record what
// they receive. The clock is a fake, too.
package matrix
