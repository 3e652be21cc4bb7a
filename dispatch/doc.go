// Package dispatch drives each request from its acceptance to its outcome:
// claim, choice of a backend server, attempts, retries, and relaying of the
// response.
//
// Dispatcher.Do creates an inFlightRequest for each request. Start reading at
// inFlightRequest.run:
//
//  1. A non-idempotent request with an idempotency key makes a claim (claim.go).
//     If the claim is lost, the request ends with the response of the daemon that
//     holds it.
//  2. The Chooser selects a backend server, unless the request is suspected of
//     crashing backend servers.
//  3. attempt.go sends the request through package backend. The state machine
//     of package request must permit each attempt and records how it ended.
//  4. A non-streaming response is relayed once it is complete. A stream is
//     relayed event by event (stream.go), and streamState records what the
//     caller has received, so that another engine can continue it
//     (streamstate.go, rewrite.go, body.go).
//     While its backend server is silent, a second attempt may be made (hedge.go).
//     The first of both that delivers data wins.
//  5. After a failure, the state machine, the retry budget and the deadline
//     decide whether there is another attempt.
//  6. conclude stores the answer for other requests with the same key, reports
//     the outcome to the caller, and then releases the claim if nothing was
//     written under it.
//
// MoveStreams and Drain (move.go, drain.go) act on all requests in flight. To test
// another fault, implement it in backend_fake_test.go under a new name and add a
// faultCase to matrix_test.go.
package dispatch
