package cloud

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// version is a state of the list and when it came about.
type version struct {
	since    time.Time
	snapshot hosting.VMSnapshot
}

// list answers with the newest state that is at least the lag old.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	snapshot := c.visible()
	tag := strconv.Quote(strconv.FormatUint(snapshot.Version, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	c.wholeLists.Add(1)
	standin.Respond(w, http.StatusOK, snapshot)
}

// WholeLists counts the lists that were sent whole.
func (c *Cloud) WholeLists() int64 { return c.wholeLists.Load() }

func (c *Cloud) visible() hosting.VMSnapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	shown := c.clock.Now().Add(-c.parameters.ListLag)
	for len(c.versions) > 1 && !c.versions[1].since.After(shown) {
		c.versions = c.versions[1:]
	}
	return c.versions[0].snapshot
}

// replace sets the whole list. It is part of the control interface.
func (c *Cloud) replace(w http.ResponseWriter, r *http.Request) {
	var request struct{ VMs []hosting.VM }
	if !standin.Decode(w, r, &request) {
		return
	}
	c.change(func([]hosting.VM) []hosting.VM { return request.VMs })
	standin.Respond(w, http.StatusOK, struct{}{})
}

// change adds a state of the list, which shows after the lag.
func (c *Cloud) change(edit func(vms []hosting.VM) []hosting.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	truth := c.versions[len(c.versions)-1].snapshot
	c.versions = append(c.versions, version{
		since:    c.clock.Now(),
		snapshot: hosting.VMSnapshot{Version: truth.Version + 1, VMs: edit(slices.Clone(truth.VMs))},
	})
}
