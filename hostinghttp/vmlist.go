package hostinghttp

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// VMList is a client of the VM list. It caches the last list and requests it with its
// ETag, so that an unchanged list is not sent again. It is safe for concurrent use.
type VMList struct {
	client client

	mu sync.Mutex
	// last is the list of the last response, whose entity tag is etag.
	last hosting.VMSnapshot
	etag string
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
	last, etag := v.cached()
	response, err := v.client.getIfNewer(ctx, "/vms", 0, etag)
	if err != nil {
		return hosting.VMSnapshot{}, err
	}
	if etag != "" && response.status == http.StatusNotModified {
		return last, nil
	}
	snapshot, err := decode[hosting.VMSnapshot](v.client, response)
	if err == nil {
		v.cache(snapshot, response.etag)
	}
	return snapshot, err
}

func (v *VMList) cached() (hosting.VMSnapshot, string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.last, v.etag
}

func (v *VMList) cache(snapshot hosting.VMSnapshot, etag string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.last, v.etag = snapshot, etag
}
