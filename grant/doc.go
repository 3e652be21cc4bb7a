// Package grant assigns each range of claim keys to one owning daemon, which
// decides which claim of a key wins and can do so even while the log is down.
//
// Grants are records of the claim stream. A grant has no lifetime: ownership
// changes only when the owner releases the range, or on proof that the owner is
// dead. A paused or partitioned owner therefore keeps its ranges, and no two
// processes ever decide about one key at the same time.
//
// The package does no I/O and reads no clock. Package claimlog does not use it
// yet.
package grant
