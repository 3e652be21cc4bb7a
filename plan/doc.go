// Package plan holds the configuration that operators publish: the list of
// plans and the list of allowances, and the fold that turns the records of
// the configuration stream into the state in force.
//
// The package is a pure core. Every daemon that folds the same records
// reaches the same state, in whatever batches and however often the records
// are delivered.
package plan
