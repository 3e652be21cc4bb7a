// Package claimpb holds the generated code of the records in the claim
// stream.
package claimpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative claim.proto
