package cloud

import (
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

const maxWait = 30 * time.Second

// announcement is the body of a control request that announces reclaims.
type announcement struct {
	// VMs are the names of the VMs that will be reclaimed.
	VMs []string
	// Notice is the time until the VMs are stopped.
	Notice standin.Duration
}

// announce sends reclaim notices and marks the VMs as leaving in the list. It
// is part of the control interface. The VMs stay in the list until a control
// request takes them out.
func (c *Cloud) announce(w http.ResponseWriter, r *http.Request) {
	var request announcement
	if !standin.DecodeStrictly(w, r, &request) {
		return
	}
	c.Reclaim(request.VMs, time.Duration(request.Notice))
	standin.Respond(w, http.StatusOK, struct{}{})
}

// Reclaim sends a reclaim notice for each of the VMs, and marks them as
// leaving in the list.
func (c *Cloud) Reclaim(vms []string, notice time.Duration) {
	reclaimed := map[string]bool{}
	for _, vm := range vms {
		reclaimed[vm] = true
	}
	c.change(func(list []hosting.VM) []hosting.VM {
		for i := range list {
			list[i].Leaving = list[i].Leaving || reclaimed[list[i].Name]
		}
		return list
	})
	c.notify(vms, c.clock.Now().Add(notice))
}

func (c *Cloud) notify(vms []string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range vms {
		sequence := uint64(len(c.notices) + 1)
		c.notices = append(c.notices, hosting.Notice{Sequence: sequence, VM: vm, Deadline: deadline})
	}
	close(c.noticed)
	c.noticed = make(chan struct{})
}

// poll answers with the notices above a sequence, and waits for the first.
func (c *Cloud) poll(w http.ResponseWriter, r *http.Request) {
	after := standin.Uint(r, "After")
	timer := c.clock.NewTimer(min(standin.QueryDuration(r, "Wait"), maxWait))
	defer timer.Stop()
	for {
		notices, noticed := c.noticesAfter(after)
		if len(notices) > 0 {
			standin.Respond(w, http.StatusOK, hostinghttp.NoticesResponse{Notices: notices})
			return
		}
		select {
		case <-noticed:
		case <-timer.Chan():
			standin.Respond(w, http.StatusOK, hostinghttp.NoticesResponse{Notices: notices})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (c *Cloud) noticesAfter(after uint64) ([]hosting.Notice, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := uint64(len(c.notices))
	return append([]hosting.Notice{}, c.notices[min(after, known):]...), c.noticed
}
