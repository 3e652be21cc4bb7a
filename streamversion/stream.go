// Package streamversion keeps which software version of a service's runners began a stream, so that
// a caller can resume the stream at any daemon.
//
// A Rule for each service says which version began the streams that have no record. Only streams
// that another version began are recorded, before their callers get the first event. It does no
// I/O.
package streamversion

import "github.com/cespare/xxhash/v2"

// Stream identifies a stream at all daemons.
type Stream uint64

// StreamOf returns the stream of a service that an attempt by a caller of a customer began.
func StreamOf(service, customer, callID string) Stream {
	digest := xxhash.New()
	for _, part := range []string{service, customer, callID} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Stream(digest.Sum64())
}
