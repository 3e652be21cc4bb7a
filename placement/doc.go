// Package placement decides which models each runner should have loaded and
// which VMs are to be started for lost ones. It has no input or output:
// package order carries out what it decides.
//
// Decisions are absolute. A load names all models of a runner, and a start
// has an identity that is the same whenever it is made for the same lost VM,
// so that a repeated or late order adds nothing.
package placement
