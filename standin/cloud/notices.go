package cloud

import (
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

const maxPollWait = 30 * time.Second

// reclaimRequest is the body of the control request that announces reclaims.
type reclaimRequest struct {
	// VMs are the names of the VMs that will be reclaimed.
	VMs []string
	// Notice is the time from the notice to the reclaim.
	Notice standin.Duration
}

// postNotices issues reclaim notices and marks the VMs as leaving in the VM list.
// It is part of the control interface. The VMs stay in the list until a request
// stops them or replaces the list.
func (c *Cloud) postNotices(w http.ResponseWriter, r *http.Request) {
	var request reclaimRequest
	if !standin.DecodeStrictly(w, r, &request) {
		return
	}
	c.Reclaim(request.VMs, time.Duration(request.Notice))
	standin.Respond(w, http.StatusOK, struct{}{})
}

// Reclaim issues a reclaim notice for each of the VMs and marks them as leaving
// in the VM list.
func (c *Cloud) Reclaim(vms []string, notice time.Duration) {
	reclaimed := map[string]bool{}
	for _, vm := range vms {
		reclaimed[vm] = true
	}
	c.updateList(func(list []hosting.VM) []hosting.VM {
		for i := range list {
			list[i].Leaving = list[i].Leaving || reclaimed[list[i].Name]
		}
		return list
	})
	c.addNotices(vms, c.clock.Now().Add(notice))
}

func (c *Cloud) addNotices(vms []string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range vms {
		sequence := uint64(len(c.notices) + 1)
		c.notices = append(c.notices, hosting.Notice{Sequence: sequence, VM: vm, Deadline: deadline})
	}
	close(c.noticesAdded)
	c.noticesAdded = make(chan struct{})
}

// pollNotices responds with the notices above a sequence number. It waits until
// there is one, at most for the time that the caller asks for.
func (c *Cloud) pollNotices(w http.ResponseWriter, r *http.Request) {
	after := standin.QueryUint(r, "After")
	timer := c.clock.NewTimer(min(standin.QueryDuration(r, "Wait"), maxPollWait))
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
	count := uint64(len(c.notices))
	return append([]hosting.Notice{}, c.notices[min(after, count):]...), c.noticesAdded
}
