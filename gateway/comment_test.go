package gateway_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestEndlessBytesWithoutEventAreNoActivity guards against resumable streams that wait
// until their deadline for a runner that sends comments, but no event.
func TestEndlessBytesWithoutEventAreNoActivity(t *testing.T) {
	for name, content := range map[string]string{
		"comments": ":\n\n", "one comment": ": x", "unknown fields": "x\n\n", "a name without data": "event: x\n\n", "empty lines": "\n",
	} {
		for _, events := range []int{1, 2} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				endless := standin.Behaviour{Events: events, Endless: standin.Endless{Content: content, Pause: 10 * time.Millisecond}}
				r := newRig(t, always(endless), always(standin.Behaviour{Events: 4}))
				got := r.send("/resumable/a")
				r.c.Check(got.broken, qt.IsFalse)
				r.c.Check(got.body, qt.Equals, standin.Events(4))
				r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
			})
		}
	}
}

// TestCommentBeforeTheFirstEventIsNoAnswer guards against a stream that can't be retried
// since comments of its first runner were forwarded.
func TestCommentBeforeTheFirstEventIsNoAnswer(t *testing.T) {
	comments := standin.Behaviour{Unframed: true, Endless: standin.Endless{Content: ": wait\n\n", Pause: 10 * time.Millisecond}}
	r := newRig(t, always(comments), always(standin.Behaviour{Events: 3}))
	r.c.Check(r.send("/resumable/a").body, qt.Equals, standin.Events(3))
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
}

// TestManyBytesWithoutEventEndTheStream guards against streams that last until their
// deadline while their runner sends bytes without an event.
func TestManyBytesWithoutEventEndTheStream(t *testing.T) {
	for name, content := range map[string]string{
		"comments": ":" + kibibyte + "\n\n", "one comment": ":" + kibibyte, "no lines": kibibyte, "one event": "data: " + kibibyte + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, always(standin.Behaviour{Unframed: true, Endless: standin.Endless{Content: content}}))
			got := r.send("/stream/a")
			// At the deadline, the status would be 504.
			r.c.Check(got.status, qt.Equals, 502)
			r.c.Check(got.body, qt.Equals, "")
		})
	}
}

// TestStreamIsForwardedUnchanged guards against comments and unknown fields that are lost,
// and against long lines that are taken apart.
func TestStreamIsForwardedUnchanged(t *testing.T) {
	long := strings.Repeat("x", 4<<10-len("data: "))
	for name, body := range map[string]string{
		"comments":          ": first\n\nid: 1\ndata: a\n\n: second\n\n:\nid: 2\ndata: b\n\n",
		"a comment at last": "id: 1\ndata: a\n\n: last\n\n",
		"comments only":     ": first\n\n: second\n\n",
		"unknown fields":    "retry: 10\n\nx\n\nid: 1\ndata: a\n\n",
		"a long line":       "id: 1\ndata: " + long + "\n\nid: 2\ndata: " + long + "id: 9\n\n",
		"CR and LF":         ": first\r\n\r\nid: 1\r\ndata\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Body: body}))
			got := r.send("/stream/a")
			r.c.Check(got.status, qt.Equals, 200)
			r.c.Check(got.broken, qt.IsFalse)
			r.c.Check(got.body, qt.Equals, body)
		})
	}
}

// TestStreamThatIsCutBeforeDataIsIncomplete guards against a stream that counts as complete
// although it ends within lines that may belong to an event.
func TestStreamThatIsCutBeforeDataIsIncomplete(t *testing.T) {
	for _, body := range []string{": comment", ": comment\n", ": comment\n\nevent: x\n", "id", "data: a\n"} {
		r := newRig(t, always(standin.Behaviour{Body: body, Unframed: true}))
		got := r.send("/stream/a")
		r.c.Check(got.status, qt.Equals, 502, qt.Commentf("%q", body))
		r.c.Check(got.body, qt.Equals, "")
	}
}

// TestEventsThatStallHoldBoundedMemory guards against a process that runs out of memory
// since many streams hold long events that are not complete.
func TestEventsThatStallHoldBoundedMemory(t *testing.T) {
	const requests, limitBytes = 2 * rigSlots, 1 << 20
	event := "id: 1\ndata: " + strings.Repeat(kibibyte, 500)
	r := newRig(t, always(standin.Behaviour{Body: event + "\n\n", StallAfter: len(event)}))
	budget := r.setBudget(limitBytes)
	replies := make(chan []reply)
	go func() { replies <- r.sendMany("/stream/a", requests) }()
	time.Sleep(time.Second)
	held := budget.HeldBytes()
	r.c.Check(held > 0 && held <= limitBytes, qt.IsTrue, qt.Commentf("%d bytes are held", held))
	failed := 0
	for _, got := range <-replies {
		r.c.Check(got.body, qt.Equals, "")
		if got.status == 502 {
			failed++
		}
	}
	r.c.Check(failed >= requests-limitBytes/len(event), qt.IsTrue, qt.Commentf("%d failed", failed))
	r.awaitNoHeldBytes(budget)
}
