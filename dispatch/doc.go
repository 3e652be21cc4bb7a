// Package dispatch drives each request from its acceptance to its outcome:
// claim, choice of a backend server, attempts, retries, and the passing on of
// the answer.
//
// Dispatcher.Do makes a flight for the request. flight.run is the place to
// start reading:
//
//  1. A request with a key that is not idempotent makes a claim (claim.go). A
//     claim that is lost ends with the answer of the daemon that holds it.
//  2. The Chooser selects a backend server, unless the request is suspected of
//     crashing them.
//  3. attempt.go sends the request through package backend. The state machine
//     of package request permits each attempt and learns how it ended.
//  4. An answer in one piece is passed on when it is whole. A stream is passed
//     on event by event (stream.go), and the transcript keeps what the caller
//     has, so that the next engine can continue it (transcript.go, rewrite.go,
//     body.go).
//  5. After a failure the machine, the retry budget and the deadline decide
//     whether there is another attempt.
//  6. conclude stores the answer for other sendings of the key, tells the
//     caller, and then gives back a claim under which nothing was written.
//
// Move and Drain (move.go, drain.go) act on all flights. To add a fault, give
// it a name in backend_fake_test.go and a column in matrix_test.go.
package dispatch
