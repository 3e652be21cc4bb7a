package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// Guards against the loss of sound streams, which have run, to the checks for foreign bytes.
func TestUnusualSoundStreamsAreForwarded(t *testing.T) {
	for name, raw := range map[string]standin.RawStream{
		"status line as data":      {ContentType: "text/event-stream", Parts: []string{"id: 1\ndata: HTTP/1.1 200 OK\n\n"}},
		"media type in capitals":   {ContentType: "TEXT/Event-Stream ; charset=UTF-8", Parts: []string{"id: 1\ndata: x\n\n"}},
		"several IDs":              {ContentType: "text/event-stream", Parts: []string{"id: 1\nid: 1\ndata: x\n\n"}},
		"ID without space":         {ContentType: "text/event-stream", Parts: []string{"id:1\ndata:x\n\n"}},
		"event without data":       {ContentType: "text/event-stream", Parts: []string{"id: 1\n\nid: 2\ndata: x\n\n"}},
		"field without a value":    {ContentType: "text/event-stream", Parts: []string{"id: 1\ndata\ndata: x\n\n"}},
		"comment first":            {ContentType: "text/event-stream", Parts: []string{": hello\n\nid: 1\ndata: x\n\n: bye\n\n"}},
		"retry before the first":   {ContentType: "text/event-stream", Parts: []string{"retry: 100\n\nid: 1\ndata: x\n\n"}},
		"weight version":           {ContentType: "text/event-stream", Parts: []string{"x-weight-versions: 3\nid: 1\ndata: x\n\n"}},
		"lines with CR LF":         {ContentType: "text/event-stream", Parts: []string{"id: 1\r\ndata: x\r\n\r\n"}},
		"retry after the last":     {ContentType: "text/event-stream", Parts: []string{"id: 1\ndata: x\n\n", "retry: 100\n\n"}},
		"no media type":            {Parts: []string{"id: 1\ndata: x\n\n"}},
		"with a length":            {ContentType: "text/event-stream", Framing: standin.WithLength, Parts: []string{"id: 1\ndata: x\n\n"}},
		"ended by the connection":  {ContentType: "text/event-stream", Framing: standin.UntilClose, Parts: []string{"id: 1\ndata: x\n\n"}},
		"empty, with a length":     {ContentType: "text/event-stream", Framing: standin.WithLength, Parts: []string{""}},
		"comments only, in chunks": {ContentType: "text/event-stream", Parts: []string{": a\n\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, always(standin.Behaviour{RawStream: &raw}))
			got := r.send("/stream/a")
			want := ""
			for _, part := range raw.Parts {
				want += part
			}
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			qt.Check(t, got.body, qt.Equals, want)
			qt.Check(t, got.broken, qt.IsFalse)
		})
	}
}

// Guards against the loss of sound answers, which have run, to the checks of heads.
func TestUnusualSoundHeadsAreForwarded(t *testing.T) {
	sound := standin.HeaderCallID + ": attempt-1\r\n" + standin.HeaderSignature + ": s\r\n"
	for name, head := range map[string]string{
		"protocol in a field":       "HTTP/1.1 200 OK\r\n" + sound + "Via: HTTP/1.1 proxy\r\nContent-Length: 2\r\n",
		"no reason phrase":          "HTTP/1.1 200\r\n" + sound + "Content-Length: 2\r\n",
		"empty reason phrase":       "HTTP/1.1 200 \r\n" + sound + "Content-Length: 2\r\n",
		"old protocol":              "HTTP/1.0 200 OK\r\n" + sound + "Content-Length: 2\r\n",
		"continued field":           "HTTP/1.1 200 OK\r\n" + sound + "X-Note: a\r\n b: c\r\nContent-Length: 2\r\n",
		"empty value":               "HTTP/1.1 200 OK\r\n" + sound + "X-Note:\r\nContent-Length: 2\r\n",
		"names in lower case":       "HTTP/1.1 200 OK\r\n" + strings.ToLower(sound) + "content-length: 2\r\n",
		"lines with LF":             "HTTP/1.1 200 OK\n" + strings.ReplaceAll(sound, "\r\n", "\n") + "Content-Length: 2\n",
		"after interim answers":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + sound + "Content-Length: 2\r\n",
		"no length":                 "HTTP/1.1 200 OK\r\n" + sound + "Connection: close\r\n",
		"colon in the value":        "HTTP/1.1 200 OK\r\n" + sound + "X-Note: a b: c d: e\r\nContent-Length: 2\r\n",
		"status with another class": "HTTP/1.1 404 Not Found\r\n" + sound + "Content-Length: 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, always(standin.Behaviour{Verbatim: standin.Verbatim{Content: head + "\r\nok", End: standin.ThenClose}}))
			got := r.send("/once/a")
			qt.Check(t, got.status == http.StatusOK || got.status == http.StatusNotFound, qt.IsTrue, qt.Commentf("%d", got.status))
			qt.Check(t, got.body, qt.Equals, "ok")
		})
	}
}

// Guards against answers that look like a broken one with another inside, and that are forwarded
// all the same. A sound runner of the platform sends none of them.
func TestAnswersLikeBrokenOnesAreNotWhole(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + standin.HeaderCallID + ": attempt-1\r\n" + standin.HeaderSignature + ": s\r\n"
	stream := head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	for name, scenario := range map[string]struct{ path, content string }{
		"byte order mark":               {"/stream/a", stream + "\xef\xbb\xbfid: 1\ndata: x\n\n"},
		"line that ends in another way": {"/stream/a", stream + "id: 1\ndata: x\r\ndata: y\n\n"},
		"event without an ID":           {"/stream/a", stream + "id: 1\ndata: x\n\ndata: [DONE]\n\n"},
		"status line in a field":        {"/once/a", head + "X-Note: got HTTP/1.1 200 OK there\r\nContent-Length: 2\r\n\r\nok"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, always(standin.Behaviour{Verbatim: standin.Verbatim{Content: scenario.content, End: standin.ThenClose}}))
			got := r.send(scenario.path)
			qt.Check(t, got.status == http.StatusBadGateway || got.broken, qt.IsTrue, qt.Commentf("%d %q", got.status, got.body))
			qt.Check(t, isPromise(got.status), qt.IsFalse)
		})
	}
}

// Guards against refusals for a head that names two requests or contradicts itself.
func TestContradictoryRefusalIsNoProof(t *testing.T) {
	for name, fields := range map[string]string{
		"names two requests": standin.HeaderCallID + ": attempt-1\r\n" + standin.HeaderCallID + ": attempt-0\r\n" + standin.HeaderNotRun + ": 1\r\n",
		"signed as run":      standin.HeaderCallID + ": attempt-1\r\n" + standin.HeaderSignature + ": s\r\n" + standin.HeaderNotRun + ": 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			content := fmt.Sprintf("HTTP/1.1 503 Busy\r\n%sContent-Length: 0\r\n\r\n", fields)
			r := newRig(t, always(standin.Behaviour{Verbatim: standin.Verbatim{Content: content, End: standin.ThenSilence}}))
			got := r.send("/once/a", with(standin.HeaderDeadline, "300"))
			qt.Check(t, isPromise(got.status), qt.IsFalse, qt.Commentf("%d", got.status))
		})
	}
}
