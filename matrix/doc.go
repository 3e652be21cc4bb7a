// Package matrix causes every fault at every step of a request and of a
// configuration, and checks after each case what always has to hold.
//
// A case runs the real parts of two or three daemons in one process: the
// dispatcher with its link to backend servers, the ledger of claims, the
// roster, the exchange with peers and the configuration. The log service, the
// network between the daemons, the backend servers on loopback and the callers
// are small fakes that record what they see. Time is a fake clock.
package matrix
