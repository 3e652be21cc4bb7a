// Package grant gives each range of claim keys to one owning daemon, so that
// the owner can go on claiming keys of its range while the log is down.
//
// Grants are records of the claim stream. A grant has no lifetime: it passes
// on only by the owner's release, or by proof that the owner is dead. A
// paused or cut-off owner therefore keeps its ranges, and no two processes
// ever decide about one key at the same time.
//
// The package is a pure core. Nothing of it is used by package ledger yet.
package grant
