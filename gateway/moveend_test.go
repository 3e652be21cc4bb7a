package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestMoveThatEndsAfterItsRequestReleasesTheNewRunner guards against requests that are
// counted for ever at a runner: the stream ended while it was being moved there.
func TestMoveThatEndsAfterItsRequestReleasesTheNewRunner(t *testing.T) {
	for _, ending := range []struct {
		name string
		// leaves is true if the caller leaves during the move. Otherwise its stream ends.
		leaves bool
		script standin.Behaviour
	}{
		{"the caller leaves", true, standin.Behaviour{Events: 40, Gap: 100 * time.Millisecond}},
		{"the stream ends", false, standin.Behaviour{Events: 8, Gap: 50 * time.Millisecond}},
	} {
		t.Run(ending.name, func(t *testing.T) {
			r := newRig(t, always(ending.script), always(standin.Behaviour{Events: 40}))
			stopping, release := make(chan struct{}), make(chan struct{})
			r.mover.copied = true
			r.mover.stop = func() { close(stopping); <-release }
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			go func() {
				for len(r.runners[0].ReceivedRequests()) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				r.gateway.MoveStreams(r.runners[0].ID)
			}()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				answer, err := client.Do(r.request(ctx, "/single/a"))
				if err != nil {
					return
				}
				defer answer.Body.Close()
				for buffer := make([]byte, 512); err == nil; {
					_, err = answer.Body.Read(buffer)
				}
			}()
			<-stopping
			if ending.leaves {
				leave()
			}
			<-ended
			time.Sleep(200 * time.Millisecond)
			close(release)
			time.Sleep(300 * time.Millisecond)
			r.c.Check(r.gateway.Balancer.Load("desk", time.Now()).Requests, qt.Equals, 0)
		})
	}
}
