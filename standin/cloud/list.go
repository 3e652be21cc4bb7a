package cloud

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// listVersion is a state of the VM list and the time from which it is in force.
type listVersion struct {
	since    time.Time
	snapshot hosting.VMSnapshot
}

// getList responds with the newest state of the VM list that is at least ListLag
// old.
func (c *Cloud) getList(w http.ResponseWriter, r *http.Request) {
	snapshot := c.visibleSnapshot()
	tag := strconv.Quote(strconv.FormatUint(snapshot.Version, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	c.fullLists.Add(1)
	standin.Respond(w, http.StatusOK, snapshot)
}

// FullLists returns the number of responses with a full VM list; a 304 Not
// Modified does not count.
func (c *Cloud) FullLists() int64 { return c.fullLists.Load() }

func (c *Cloud) visibleSnapshot() hosting.VMSnapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	asOf := c.clock.Now().Add(-c.parameters.ListLag)
	for len(c.versions) > 1 && !c.versions[1].since.After(asOf) {
		c.versions = c.versions[1:]
	}
	return c.versions[0].snapshot
}

// replaceList replaces the VM list. It is part of the control interface.
func (c *Cloud) replaceList(w http.ResponseWriter, r *http.Request) {
	var request struct{ VMs []hosting.VM }
	if !standin.Decode(w, r, &request) {
		return
	}
	c.updateList(func([]hosting.VM) []hosting.VM { return request.VMs })
	standin.Respond(w, http.StatusOK, struct{}{})
}

// updateList adds a state of the VM list, which becomes visible after ListLag.
func (c *Cloud) updateList(edit func(vms []hosting.VM) []hosting.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.versions[len(c.versions)-1].snapshot
	c.versions = append(c.versions, listVersion{
		since:    c.clock.Now(),
		snapshot: hosting.VMSnapshot{Version: latest.Version + 1, VMs: edit(slices.Clone(latest.VMs))},
	})
}
