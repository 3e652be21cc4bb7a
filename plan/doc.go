// Package plan holds the configuration that operators publish: the list of
// plans and the list of allowances. It builds the state in force from the
// records of the configuration stream.
//
// The package does no I/O. All daemons that apply the same records reach the same
// state, however the records are batched and however often they are delivered.
package plan
