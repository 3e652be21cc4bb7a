package upstream

import (
	"errors"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a status that no answer has and that reaches a caller, or whose head is skipped
// like an interim one although the connection has another protocol from there on.
func TestStatusThatNoAnswerHasIsInvalid(t *testing.T) {
	final := wireAnswers()[0]
	for _, status := range []string{"000", "001", "020", "099", "101", "600", "601", "700", "999", "-01", "-20", "+20", "0x1", "2e2", "20", "2", "2000", "0200", "00200", "20x", "2 0", "\u0662\u0660\u0660"} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			for _, reason := range []string{" Answer", " ", ""} {
				content := "HTTP/1.1 " + status + reason + "\r\n" + identity + "Content-Length: 0\r\n\r\n" + final.head + final.content
				checkInvalid(c, http.MethodPost, &sentConn{content: content})
			}
		})
	}
}

// Guards against a status out of range that counts as the failure of a connection.
func TestStatusOutOfRangeViolatesTheProtocol(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "+20"} {
		c := qt.New(t)
		_, err := fetch(http.MethodPost, &sentConn{content: "HTTP/1.1 " + status + " Answer\r\nContent-Length: 0\r\n\r\n"})
		var violation *ProtocolError
		c.Assert(errors.As(err, &violation), qt.IsTrue, qt.Commentf("%s: %v", status, err))
		c.Check(violation.Begin, qt.Equals, "HTTP/1.1 "+status)
	}
}

// Guards against an interim answer that counts as the final one.
func TestInterimStatusIsNotFinal(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "104", "150", "199"} {
		for _, rest := range []string{"", "ok", "\r\nok"} {
			checkInvalid(qt.New(t), http.MethodPost, &sentConn{content: "HTTP/1.1 " + status + " Wait\r\n" + identity + "\r\n" + rest})
		}
	}
}

// Guards against unusual statuses of sound answers that count as damaged.
func TestUnusualStatusesAreAnswers(t *testing.T) {
	for _, status := range []int{200, 208, 226, 299, 300, 399, 418, 451, 499, 511, 599} {
		c := qt.New(t)
		content := "HTTP/1.1 " + strconv.Itoa(status) + " Answer\r\nContent-Length: 2\r\n\r\nok"
		got, err := fetch(http.MethodPost, &sentConn{content: content})
		c.Assert(err, qt.IsNil)
		c.Check(got.status, qt.Equals, status)
		c.Check(got.body, qt.Equals, "ok")
	}
}
