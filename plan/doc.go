// Package plan holds the configuration that operators publish: the list of
// plans and the list of allowances, and the fold that turns the records of
// the configuration stream into the state in force.
//
// The package does no I/O. All daemons that fold the same records reach the same
// state, however the records are batched and however often they are delivered.
package plan
