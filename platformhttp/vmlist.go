package platformhttp

import (
	"context"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform"
)

// VMList is a client of the VM list.
type VMList struct {
	client client
}

var _ platform.VMList = (*VMList)(nil)

// NewVMList returns a client of the VM list at the base URL.
func NewVMList(base string, httpClient *http.Client) *VMList {
	return &VMList{client: newClient("VM list", base, httpClient)}
}

// WithTimeout returns a client whose requests take at most timeout, beyond the
// time that a long poll waits.
func (v *VMList) WithTimeout(timeout time.Duration) *VMList {
	return &VMList{client: v.client.withTimeout(timeout)}
}

// VMs implements platform.VMList.
func (v *VMList) VMs(ctx context.Context) (platform.VMSnapshot, error) {
	answer, err := v.client.read(ctx, "/vms", 0)
	if err != nil {
		return platform.VMSnapshot{}, err
	}
	return decode[platform.VMSnapshot](v.client, answer)
}
