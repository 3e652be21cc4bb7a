// Package e2e tests the built programs under faults: killed and paused processes,
// cut connections, planned stops, reclaims and outages. Each scenario is a short
// function that calls the methods of Driver.
package e2e
