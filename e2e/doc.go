// Package e2e drives the built programs through faults: kills, freezes, cuts,
// planned stops, reclaims and outages. Each scenario is a short script on the
// driver of this package.
package e2e
