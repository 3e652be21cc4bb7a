package gateway_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// impossibleStatuses are what stands in a status line in place of the status of an answer.
var impossibleStatuses = []string{"000", "001", "099", "101", "199", "600", "700", "999", "-01", "+20", "20x", "abc", "20", "2000", "0200"}

// impossibleAnswers returns complete answers with impossible statuses.
func impossibleAnswers(contentType, body string) []string {
	var answers []string
	for _, status := range impossibleStatuses {
		answers = append(answers, "HTTP/1.1 "+status+" Answer\r\n"+rawIdentity+contentType+"Connection: close\r\n\r\n"+body)
	}
	return answers
}

// Guards against an answer with a status that no answer has, such as 000, and that the caller
// gets as an answer; or whose status ends the daemon's handler by a panic.
func TestImpossibleStatusReachesNoCaller(t *testing.T) {
	plain := impossibleAnswers("", "the answer")
	stream := impossibleAnswers("Content-Type: text/event-stream\r\n", standin.Events(2))
	for name, end := range rawEnds {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for i, got := range sendRaws(t, "/once/", rawBehaviours(plain, end), okAnswer) {
				checkBadGateway(c, got, plain[i])
			}
			for i, got := range sendRaws(t, "/again/", rawBehaviours(plain, end), okAnswer) {
				checkSound(c, got, plain[i])
			}
			for i, got := range sendRaws(t, "/stream/", rawBehaviours(stream, end), okAnswer) {
				checkBadGateway(c, got, stream[i])
			}
			sound := standin.Behaviour{Events: 2}
			for i, got := range sendRaws(t, "/resumable/", rawBehaviours(stream, end), sound) {
				c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%q", stream[i]))
				c.Check(got.body, qt.Equals, standin.Events(2))
				c.Check(got.header.Get(standin.HeaderSignature) != rawSignature, qt.IsTrue)
			}
		})
	}
}

// Guards against a refusal with a status that no answer has, and that counts as a promise that the
// request has not run.
func TestRefusalWithImpossibleStatusIsNoProof(t *testing.T) {
	refusal := standin.HeaderCallID + ": attempt-1\r\n" + standin.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	var refusals []string
	for _, status := range impossibleStatuses {
		refusals = append(refusals, "HTTP/1.1 "+status+" Full\r\n"+refusal)
	}
	for i, got := range sendRaws(t, "/once/", rawBehaviours(refusals, standin.ThenClose), okAnswer) {
		checkBadGateway(qt.New(t), got, refusals[i])
	}
}

// Guards against a status 101 that is skipped like an interim answer: what follows it on the
// connection is no HTTP.
func TestAnswerAfterSwitchedProtocolIsNotForwarded(t *testing.T) {
	sound := plainAnswers()[0]
	content := "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n" + sound.head + sound.content
	got := sendRaws(t, "/once/", rawBehaviours([]string{content}, standin.ThenClose), okAnswer)
	checkBadGateway(qt.New(t), got[0], content)
}
