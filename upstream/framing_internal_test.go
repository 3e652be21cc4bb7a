package upstream

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUncertainFramingIsInvalid guards against an answer whose framing is damaged and that
// passes for a whole one: as one with another length, or as one that ends with its connection.
func TestUncertainFramingIsInvalid(t *testing.T) {
	for name, fields := range map[string]string{
		"conflicting lengths":             "Content-Length: 6\r\nContent-Length: 3\r\n",
		"list of lengths":                 "Content-Length: 6, 6\r\n",
		"length with sign":                "Content-Length: +6\r\n",
		"negative length":                 "Content-Length: -6\r\n",
		"length with spaces":              "Content-Length: 6 6\r\n",
		"folded length":                   "Content-Length: 6\r\n 6\r\n",
		"empty length":                    "Content-Length: \r\n",
		"length in hexadecimal":           "Content-Length: 0x6\r\n",
		"length without number":           "Content-Length: six\r\n",
		"too large length":                "Content-Length: 99999999999999999999\r\n",
		"length with space before colon":  "Content-Length : 6\r\n",
		"space before name":               " Content-Length: 6\r\n",
		"length with space in name":       "Content- Length: 6\r\n",
		"coding cut":                      "Transfer-Encoding: chun\r\n",
		"coding empty":                    "Transfer-Encoding: \r\n",
		"coding with space before colon":  "Transfer-Encoding : chunked\r\n",
		"identity":                        "Transfer-Encoding: identity\r\n",
		"two codings":                     "Transfer-Encoding: gzip, chunked\r\n",
		"coding twice":                    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"unknown coding with length":      "Transfer-Encoding: chun\r\nContent-Length: 6\r\n",
		"field without colon":             "X-Note\r\n",
		"field without name":              ": x\r\n",
		"field with zero bytes":           "X-Note: \x00\x00\r\n",
		"name with zero bytes":            "X-No\x00: x\r\n",
		"field with a bare CR":            "X-Note: a\rContent-Length: 6\r\n",
		"trailer that changes the length": "Trailer: Content-Length\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			content := "HTTP/1.1 200 OK\r\n" + fields + "X-Note: a\r\n\r\nanswer"
			checkInvalid(c, http.MethodGet, &sentConn{content: content})
		})
	}
}

// TestDamagedStatusLineIsInvalid guards against a status that is not the one that the runner
// sent.
func TestDamagedStatusLineIsInvalid(t *testing.T) {
	c := qt.New(t)
	for _, line := range []string{"HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20x OK", "HTTP/1. 200 OK", "HTTP/1.12 200 OK", "HTTP/1.1200 OK"} {
		// An answer with a status below 200 must not count as an interim one.
		final := wireAnswers()[0]
		content := line + "\r\nContent-Length: 0\r\n\r\n" + final.head + final.content
		checkInvalid(c, http.MethodGet, &sentConn{content: content})
	}
}

// TestRepeatedLengthIsSound guards against sound answers that count as damaged.
func TestRepeatedLengthIsSound(t *testing.T) {
	c := qt.New(t)
	for _, fields := range []string{"Content-Length: 6\r\nContent-Length: 6\r\n", "content-length:6\r\n", "Content-Length: \t6 \r\n", "X-Note: a\r\n b: c\r\nContent-Length: 6\r\n"} {
		got, err := fetch(http.MethodGet, &sentConn{content: "HTTP/1.1 200 OK\r\n" + fields + "\r\nanswer"})
		c.Check(err, qt.IsNil, qt.Commentf("%q", fields))
		c.Check(got.body, qt.Equals, "answer")
	}
}

// TestChunksOfOldProtocolAreInvalid guards against chunks that reach the caller as they are sent:
// HTTP/1.0 has no chunked coding, and its answer would end with the connection.
func TestChunksOfOldProtocolAreInvalid(t *testing.T) {
	c := qt.New(t)
	content := "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"
	checkInvalid(c, http.MethodGet, &sentConn{content: content})
}
