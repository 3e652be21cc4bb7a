package platformhttp

import (
	"context"
	"net/http"

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

// VMs implements platform.VMList.
func (v *VMList) VMs(ctx context.Context) (platform.VMSnapshot, error) {
	answer, err := v.client.read(ctx, "/vms")
	if err != nil {
		return platform.VMSnapshot{}, err
	}
	return decode[platform.VMSnapshot](v.client, answer)
}
