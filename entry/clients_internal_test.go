package entry

import (
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestMoveIsNotSentOnStaleConnection guards against the call that moves a stream being
// reset since its runner has dropped an idle connection: the stream would stay at a runner
// that is leaving.
func TestMoveIsNotSentOnStaleConnection(t *testing.T) {
	c := qt.New(t)
	runner, err := standin.NewRunner("i-a", func(standin.ReceivedRequest) standin.Behaviour { return standin.Behaviour{} })
	c.Assert(err, qt.IsNil)
	c.Cleanup(runner.Close)
	runner.DropIdleAfter(200 * time.Millisecond)
	mover := platform.NewMover(newClient(buffer.New(buffer.DefaultOptions())))
	for range 2 {
		_, err := mover.CopyRun(t.Context(), runner.Address(), "attempt-1", "127.0.0.1:1")
		var refused *platform.MoveError
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Assert(refused.Status, qt.Equals, http.StatusNotFound)
		time.Sleep(300 * time.Millisecond)
	}
	c.Check(runner.AcceptedConnections(), qt.Equals, 2)
}
