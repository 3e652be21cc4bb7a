package hostinghttp

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// VMList is a client of the VM list. It keeps the last list, so that a list
// that has not changed is not sent again. It is safe for use by several
// goroutines.
type VMList struct {
	client client

	mu sync.Mutex
	// last is the list that came with tag.
	last hosting.VMSnapshot
	tag  string
}

var _ hosting.VMList = (*VMList)(nil)

// NewVMList returns a client of the VM list at the base URL.
func NewVMList(base string, httpClient *http.Client) *VMList {
	return &VMList{client: newClient("VM list", base, httpClient)}
}

// WithTimeout returns a client whose requests take at most timeout, beyond the
// time that a long poll waits.
func (v *VMList) WithTimeout(timeout time.Duration) *VMList {
	return &VMList{client: v.client.withTimeout(timeout)}
}

// VMs implements hosting.VMList.
func (v *VMList) VMs(ctx context.Context) (hosting.VMSnapshot, error) {
	last, tag := v.known()
	answer, err := v.client.readNewer(ctx, "/vms", 0, tag)
	if err != nil {
		return hosting.VMSnapshot{}, err
	}
	if tag != "" && answer.status == http.StatusNotModified {
		return last, nil
	}
	snapshot, err := decode[hosting.VMSnapshot](v.client, answer)
	if err == nil {
		v.keep(snapshot, answer.tag)
	}
	return snapshot, err
}

func (v *VMList) known() (hosting.VMSnapshot, string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.last, v.tag
}

func (v *VMList) keep(snapshot hosting.VMSnapshot, tag string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.last, v.tag = snapshot, tag
}
