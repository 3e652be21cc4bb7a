package hostinghttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Cloud is a client of the cloud API.
type Cloud struct {
	client client
}

var _ hosting.Cloud = (*Cloud)(nil)

// NewCloud returns a client of the cloud API at the base URL.
func NewCloud(base string, httpClient *http.Client) *Cloud {
	return &Cloud{client: newClient("cloud", base, httpClient)}
}

// WithTimeout returns a client whose requests take at most timeout, beyond the
// time that a long poll waits.
func (c *Cloud) WithTimeout(timeout time.Duration) *Cloud {
	return &Cloud{client: c.client.withTimeout(timeout)}
}

// Notices implements hosting.Cloud.
func (c *Cloud) Notices(ctx context.Context, after uint64, wait time.Duration) ([]hosting.Notice, error) {
	query := url.Values{}
	query.Set("After", strconv.FormatUint(after, 10))
	query.Set("Wait", wait.String())
	response, err := c.client.get(ctx, "/notices?"+query.Encode(), wait)
	if err != nil {
		return nil, err
	}
	notices, err := decode[NoticesResponse](c.client, response)
	return notices.Notices, err
}

// Start implements hosting.Cloud.
func (c *Cloud) Start(ctx context.Context, request hosting.StartRequest) (hosting.VM, error) {
	response, err := c.client.post(ctx, "/vms/start", request)
	if err != nil {
		return hosting.VM{}, err
	}
	if response.status == http.StatusConflict {
		return hosting.VM{}, &hosting.NoCapacityError{Zone: request.Zone, Class: request.Class}
	}
	return decode[hosting.VM](c.client, response)
}

// Stop implements hosting.Cloud.
func (c *Cloud) Stop(ctx context.Context, vm string) error {
	response, err := c.client.post(ctx, "/vms/"+url.PathEscape(vm)+"/stop", struct{}{})
	if err != nil {
		return err
	}
	_, err = decode[struct{}](c.client, response)
	return err
}
