package entry

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/buffer"
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
	client := newMoverClient(buffer.New(buffer.DefaultOptions()))
	for range 2 {
		response, err := client.Post("http://"+runner.Address()+"/-/kv-move", "application/json", http.NoBody)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
	}
}
