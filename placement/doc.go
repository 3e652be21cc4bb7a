// Package placement decides which models each runner should have loaded and
// which VMs are started to replace lost ones. It does no I/O: package order
// carries out its decisions.
//
// Orders are idempotent. A load order names all models of a runner, and a start
// request for the same lost VM always has the same identity, so that a repeated
// or late order has no further effect.
package placement
