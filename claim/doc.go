// Package claim decides which daemon may run a keyed request that is not
// idempotent. Daemons append claims to one stream of the log and apply its
// records in log order: the first claim of a key wins.
//
// The package does no I/O and reads no clock. The result of a claim depends
// only on the records within Options.Lifetime before it, so daemons that
// started to read at different offsets agree, as long as each has read the
// records of that period.
package claim
