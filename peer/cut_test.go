package peer

import (
	"context"
	"io"
	"math"
	"net"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// cutter forwards the bytes of one call, and closes both connections once it has forwarded as
// many bytes of the reply as its limit.
type cutter struct {
	listener net.Listener
	served   sync.WaitGroup

	mutex sync.Mutex
	// target is the address that connections are forwarded to; guarded by mutex, as limit.
	target string
	limit  int64
}

// newCutter must be called before the daemons start, so that it ends after them.
func newCutter(c *qt.C) *cutter {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	k := &cutter{listener: listener}
	k.served.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			k.served.Go(func() { k.forward(conn) })
		}
	})
	c.Cleanup(func() {
		_ = listener.Close()
		k.served.Wait()
	})
	return k
}

func (k *cutter) forward(conn net.Conn) {
	defer conn.Close()
	k.mutex.Lock()
	address, limit := k.target, k.limit
	k.mutex.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer target.Close()
	k.served.Go(func() {
		_, _ = io.Copy(target, conn)
		_ = target.Close()
	})
	_, _ = io.CopyN(conn, target, limit)
}

func (k *cutter) set(target string, limit int64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.target, k.limit = target, limit
}

// TestReplyThatBreaksOffIsNotWhole guards against a recorded answer or a configuration of
// another daemon that breaks off, at any byte, and counts as whole.
func TestReplyThatBreaksOffIsNotWhole(t *testing.T) {
	c, fake := qt.New(t), newFakeClock()
	cut := newCutter(c)
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	b := startDaemon(c, fake, "B", "1", "127.0.0.1:0")
	body := strings.Repeat("a part ", 40)
	b.handler.answers["K"] = Answer{State: Final, Outcome: "Answered", Status: 200, Body: []byte(body)}
	b.handler.snapshot, b.handler.offset = []byte(body), 7
	a.SetVMs([]hosting.VM{a.vm, entryVM("B", cut.listener.Addr().String())})
	var isWhole bool
	for limit := int64(0); !isWhole; limit++ {
		cut.set(b.Address(), limit)
		answer, err := a.FetchAnswer(context.Background(), "B", "1", "K")
		snapshot, offset, failure := a.FetchConfiguration(context.Background())
		if failure == nil {
			c.Check(string(snapshot), qt.Equals, body)
			c.Check(offset, qt.Equals, uint64(7))
		}
		if isWhole = err == nil; isWhole {
			c.Check(answer.State, qt.Equals, Final)
			c.Check(string(answer.Body), qt.Equals, body)
			c.Check(limit > int64(len(body)), qt.IsTrue)
		}
	}
	cut.set(b.Address(), math.MaxInt64)
	snapshot, _, err := a.FetchConfiguration(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(string(snapshot), qt.Equals, body)
}
