package cloud

import (
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

func (c *Cloud) modelSize(w http.ResponseWriter, _ *http.Request) {
	standin.Respond(w, http.StatusOK, hostinghttp.SizeResponse{Bytes: c.parameters.ModelBytes})
}

func (c *Cloud) reserveTransfer(w http.ResponseWriter, r *http.Request) {
	var request hostinghttp.ReserveRequest
	if !standin.Decode(w, r, &request) {
		return
	}
	if request.Bytes < 0 {
		http.Error(w, "Bytes is negative", http.StatusBadRequest)
		return
	}
	wait := c.queueTransfer(request.Bytes)
	standin.Respond(w, http.StatusOK, hostinghttp.ReserveResponse{Wait: wait.String()})
}

// queueTransfer queues a transfer behind those reserved earlier and returns the
// wait until it starts.
func (c *Cloud) queueTransfer(bytes int64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	begin := c.transfersUntil
	if begin.Before(now) {
		begin = now
	}
	seconds := float64(bytes) / c.parameters.WeightBytesPerSecond
	c.transfersUntil = begin.Add(time.Duration(seconds * float64(time.Second)))
	return begin.Sub(now)
}
