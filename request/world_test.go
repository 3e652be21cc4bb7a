package request_test

import (
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// nobody stands for no daemon.
const nobody = -1

// node is a daemon with its machine for the request.
type node struct {
	machine request.Machine
	// inbox holds events that have happened and may be delivered.
	inbox []request.Event
	// sealed is true when the current attempt may not write any more.
	sealed bool
	// wrote is true when the current attempt has written.
	wrote bool
	// writes counts the attempts of the node that wrote.
	writes   int
	claimed  bool
	crashed  bool
	released bool
	// ended is the outcome that was seen first.
	ended request.Outcome
}

// world is several daemons, a log of claims and a backend server.
type world struct {
	request request.Request
	nodes   []*node
	// holder is the daemon whose claim stands.
	holder int
	writes int
}

func newWorld(t *rapid.T) *world {
	w := &world{holder: nobody}
	w.request.Idempotent = rapid.Bool().Draw(t, "idempotent")
	if rapid.Bool().Draw(t, "keyed") {
		w.request.Key = "key"
	}
	for range rapid.IntRange(1, 3).Draw(t, "nodes") {
		w.nodes = append(w.nodes, &node{machine: request.NewMachine(w.request), sealed: true})
	}
	return w
}

// pick draws a daemon. A step that does not apply to it is empty: rapid ends
// a run early that rejects many steps.
func (w *world) pick(t *rapid.T) (int, *node) {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
	return i, w.nodes[i]
}

// isRare makes a step rare that ends what a daemon does.
func isRare(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "rare") == 0 }

func (w *world) claim(t *rapid.T) {
	i, n := w.pick(t)
	if n.crashed || n.claimed || !w.request.NeedsClaim() {
		return
	}
	n.claimed = true
	kind := request.ClaimLost
	if w.holder == nobody {
		w.holder = i
		kind = request.ClaimWon
	}
	n.inbox = append(n.inbox, request.Event{Kind: kind})
}

func (w *world) begin(t *rapid.T) {
	_, n := w.pick(t)
	next, err := n.machine.Apply(eventFor(n.machine, request.AttemptBegan))
	if err != nil || n.crashed {
		return
	}
	n.machine, n.sealed, n.wrote = next, false, false
}

func (w *world) write(t *rapid.T) {
	_, n := w.pick(t)
	if n.crashed || n.sealed || n.wrote {
		return
	}
	n.wrote = true
	n.writes++
	w.writes++
}

func (w *world) fail(t *rapid.T) {
	_, n := w.pick(t)
	if n.crashed || n.sealed {
		return
	}
	n.sealed = true
	kind := request.AttemptUnwritten
	if n.wrote {
		kind = request.AttemptFailed
	}
	n.inbox = append(n.inbox, request.Event{Kind: kind, Attempt: n.machine.Attempt()})
}

func (w *world) answer(t *rapid.T) {
	_, n := w.pick(t)
	if n.crashed || n.sealed || !n.wrote {
		return
	}
	for _, kind := range []request.EventKind{request.AnswerBegan, request.AnswerWhole} {
		n.inbox = append(n.inbox, request.Event{Kind: kind, Attempt: n.machine.Attempt()})
	}
}

// deliver gives a daemon one of its events, which may come again later. What
// is never drawn is lost.
func (w *world) deliver(t *rapid.T) {
	_, n := w.pick(t)
	if n.crashed || len(n.inbox) == 0 {
		return
	}
	event := rapid.SampledFrom(n.inbox).Draw(t, "event")
	n.apply(event)
}

func (n *node) apply(event request.Event) {
	if next, err := n.machine.Apply(event); err == nil {
		n.machine = next
	}
}

// relay asks the holder for its outcome.
func (w *world) relay(t *rapid.T) {
	_, n := w.pick(t)
	if n.crashed || w.holder == nobody || w.nodes[w.holder].crashed {
		return
	}
	switch w.nodes[w.holder].machine.Outcome() {
	case request.Answered:
		n.apply(request.Event{Kind: request.RelayAnswered})
	case request.NotRun:
		n.apply(request.Event{Kind: request.RelayNotRun})
	}
}

func (w *world) giveUp(t *rapid.T) {
	_, n := w.pick(t)
	if n.crashed || !isRare(t) {
		return
	}
	n.sealed = true
	n.apply(request.Event{Kind: request.GivenUp})
}

func (w *world) release(t *rapid.T) {
	i, n := w.pick(t)
	if n.crashed || w.holder != i || !n.machine.MayRelease() {
		return
	}
	w.holder = nobody
	n.released = true
}

func (w *world) crash(t *rapid.T) {
	_, n := w.pick(t)
	n.crashed = isRare(t) || n.crashed
}

// resend gives a daemon the request again, as a restart or a repeated sending
// does. Without a key it is another request.
func (w *world) resend(t *rapid.T) {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
	n := w.nodes[i]
	if !n.crashed && n.machine.State() != request.Ended {
		return
	}
	w.nodes[i] = &node{machine: request.NewMachine(w.request), sealed: true}
}

// check asserts the invariants.
func (w *world) check(t *rapid.T) {
	if w.request.NeedsClaim() && w.writes > 1 {
		t.Fatalf("a keyed request that is not idempotent was written %d times", w.writes)
	}
	for i, n := range w.nodes {
		if !w.request.Idempotent && n.writes > 1 {
			t.Fatalf("daemon %d wrote a request that is not idempotent %d times", i, n.writes)
		}
		outcome := n.machine.Outcome()
		if n.ended != request.Pending && outcome != n.ended {
			t.Fatalf("daemon %d changed its outcome from %s to %s", i, n.ended, outcome)
		}
		if outcome == request.NotRun && n.ended == request.Pending {
			w.checkNotRun(t, i, n)
		}
		n.ended = outcome
	}
}

// checkNotRun asserts the promise at the moment at which it is made.
func (w *world) checkNotRun(t *rapid.T, i int, n *node) {
	writes := n.writes
	if w.request.Key != "" {
		writes = w.writes
	}
	if writes > 0 {
		t.Fatalf("daemon %d says NotRun after %d writes", i, writes)
	}
}
