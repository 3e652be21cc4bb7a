// Package configuration connects package plan to the log service: it follows the
// configuration stream, publishes the changes of operators and writes snapshots before
// retention removes the records that a snapshot covers.
package configuration
