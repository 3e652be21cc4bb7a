// Package claim decides which daemon may run a keyed request that is not
// idempotent. Daemons append claims to one stream of the log and fold the
// stream: of the claims of a key, the first one in log order wins.
//
// The package is a pure core. The verdict on a claim depends on nothing but
// the records of the last lifetime before it, so that daemons agree however
// far back their view of the stream reaches, as long as it covers that.
package claim
