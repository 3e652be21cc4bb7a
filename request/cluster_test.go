package request_test

import (
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// noHolder is the holder when no daemon has won the claim.
const noHolder = -1

// node is one daemon with its state machine for the request.
type node struct {
	machine request.Machine
	// inbox holds events that have occurred. Each may be delivered late,
	// repeatedly or never.
	inbox []request.Event
	// sealed is true when the current attempt can no longer write.
	sealed bool
	// wrote is true when the current attempt has written.
	wrote bool
	// writes counts the attempts of the node that wrote.
	writes   int
	claimed  bool
	crashed  bool
	released bool
	// outcome is the outcome that the previous check saw.
	outcome request.Outcome
}

// cluster models several daemons, their claims for one key and a backend server.
type cluster struct {
	request request.Request
	nodes   []*node
	// holder is the index of the daemon that holds the claim.
	holder int
	writes int
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{holder: noHolder}
	c.request.Idempotent = rapid.Bool().Draw(t, "idempotent")
	if rapid.Bool().Draw(t, "keyed") {
		c.request.Key = "key"
	}
	for range rapid.IntRange(1, 3).Draw(t, "nodes") {
		c.nodes = append(c.nodes, &node{machine: request.NewMachine(c.request), sealed: true})
	}
	return c
}

// drawNode draws a daemon. Steps that do not apply to it return without effect
// instead of skipping, because rapid stops a run early when many steps are
// skipped.
func (c *cluster) drawNode(t *rapid.T) (int, *node) {
	i := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")
	return i, c.nodes[i]
}

// drawRare returns true in one of ten draws. Steps that end a daemon's work use
// it so that runs last longer.
func drawRare(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "rare") == 0 }

func (c *cluster) claim(t *rapid.T) {
	i, n := c.drawNode(t)
	if n.crashed || n.claimed || !c.request.NeedsClaim() {
		return
	}
	n.claimed = true
	kind := request.ClaimLost
	if c.holder == noHolder {
		c.holder = i
		kind = request.ClaimWon
	}
	n.inbox = append(n.inbox, request.Event{Kind: kind})
}

func (c *cluster) begin(t *rapid.T) {
	_, n := c.drawNode(t)
	next, err := n.machine.Apply(eventFor(n.machine, request.AttemptBegan))
	if err != nil || n.crashed {
		return
	}
	n.machine, n.sealed, n.wrote = next, false, false
}

func (c *cluster) write(t *rapid.T) {
	_, n := c.drawNode(t)
	if n.crashed || n.sealed || n.wrote {
		return
	}
	n.wrote = true
	n.writes++
	c.writes++
}

func (c *cluster) fail(t *rapid.T) {
	_, n := c.drawNode(t)
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

func (c *cluster) answer(t *rapid.T) {
	_, n := c.drawNode(t)
	if n.crashed || n.sealed || !n.wrote {
		return
	}
	for _, kind := range []request.EventKind{request.AnswerBegan, request.AnswerWhole} {
		n.inbox = append(n.inbox, request.Event{Kind: kind, Attempt: n.machine.Attempt()})
	}
}

// deliver applies one event from a daemon's inbox. The event stays in the inbox,
// so it may be delivered again; an event that is never drawn is lost.
func (c *cluster) deliver(t *rapid.T) {
	_, n := c.drawNode(t)
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

// relay sends the claim holder's outcome to another daemon. It may arrive after the claim was
// released.
func (c *cluster) relay(t *rapid.T) {
	_, n := c.drawNode(t)
	if n.crashed || c.holder == noHolder || c.nodes[c.holder].crashed {
		return
	}
	switch c.nodes[c.holder].machine.Outcome() {
	case request.Answered:
		n.inbox = append(n.inbox, request.Event{Kind: request.RelayAnswered})
	case request.NotRun:
		n.inbox = append(n.inbox, request.Event{Kind: request.RelayNotRun})
	}
}

func (c *cluster) giveUp(t *rapid.T) {
	_, n := c.drawNode(t)
	if n.crashed || !drawRare(t) {
		return
	}
	n.sealed = true
	n.apply(request.Event{Kind: request.GivenUp})
}

func (c *cluster) release(t *rapid.T) {
	i, n := c.drawNode(t)
	if n.crashed || c.holder != i || !n.machine.MayRelease() {
		return
	}
	c.holder = noHolder
	n.released = true
}

func (c *cluster) crash(t *rapid.T) {
	_, n := c.drawNode(t)
	n.crashed = drawRare(t) || n.crashed
}

// resend submits the request again to a daemon that has ended it or has crashed,
// as after a restart or a client retry. Without a key this is a new request.
func (c *cluster) resend(t *rapid.T) {
	i := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")
	n := c.nodes[i]
	if !n.crashed && n.machine.State() != request.Ended {
		return
	}
	c.nodes[i] = &node{machine: request.NewMachine(c.request), sealed: true}
}

// check asserts the invariants.
func (c *cluster) check(t *rapid.T) {
	if c.request.NeedsClaim() && c.writes > 1 {
		t.Fatalf("a non-idempotent request with a key was written %d times", c.writes)
	}
	for i, n := range c.nodes {
		if !c.request.Idempotent && n.writes > 1 {
			t.Fatalf("daemon %d wrote a non-idempotent request %d times", i, n.writes)
		}
		outcome := n.machine.Outcome()
		if n.outcome != request.Pending && outcome != n.outcome {
			t.Fatalf("daemon %d changed its outcome from %s to %s", i, n.outcome, outcome)
		}
		if outcome == request.NotRun && n.outcome == request.Pending {
			c.checkNotRun(t, i, n)
		}
		n.outcome = outcome
	}
}

// checkNotRun asserts, when the outcome becomes NotRun, that nothing was written.
func (c *cluster) checkNotRun(t *rapid.T, i int, n *node) {
	writes := n.writes
	if c.request.Key != "" {
		writes = c.writes
	}
	if writes > 0 {
		t.Fatalf("daemon %d reported NotRun after %d writes", i, writes)
	}
}
