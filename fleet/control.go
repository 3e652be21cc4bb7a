package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// controlTimeout bounds one control request.
const controlTimeout = 10 * time.Second

var controlClient = &http.Client{Timeout: controlTimeout}

// vmList is the body of the request that replaces the VM list of the stand-in.
type vmList struct {
	VMs []hosting.VM
}

// reclaimNotice is the body of the request that announces reclaims to the stand-in
// of the cloud API.
type reclaimNotice struct {
	VMs []string
	// Notice is a duration such as 5s.
	Notice string
}

func (f *Fleet) putVMs() error {
	f.mu.Lock()
	list := vmList{VMs: slices.Clone(f.vms)}
	f.mu.Unlock()
	return RequestJSON(http.MethodPut, f.PlatformURL+"/vms", list, nil)
}

// AnnounceReclaim gives notice that the cloud reclaims VMs after the delay.
func (f *Fleet) AnnounceReclaim(delay time.Duration, vms ...string) error {
	body := reclaimNotice{VMs: vms, Notice: delay.String()}
	return RequestJSON(http.MethodPost, f.PlatformURL+"/notices", body, nil)
}

// SetFaults sets the faults of a stand-in; body is the Faults value of the
// stand-in's package. The name platform selects the log service, and the name cloud
// selects the cloud API and the VM list.
func (f *Fleet) SetFaults(name string, body any) error {
	path := "/control/faults"
	if name == "cloud" {
		name, path = "platform", "/cloud/control/faults"
	}
	return RequestJSON(http.MethodPost, f.endpoint(name)+path, body, nil)
}

func (f *Fleet) setEndpoint(name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[name] = address
}

// endpoint returns the base URL of a stand-in, or the peer address of a daemon, that
// bypasses its relay.
func (f *Fleet) endpoint(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[name]
}

// RequestJSON sends a JSON request and decodes the JSON answer into out unless out is
// nil.
func RequestJSON(method, url string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return &OperationError{Name: url, Cause: err}
		}
	}
	request, err := http.NewRequest(method, url, &body)
	if err != nil {
		return &OperationError{Name: url, Cause: err}
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return &OperationError{Name: url, Cause: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return &OperationError{Name: url, Cause: err}
	}
	if response.StatusCode/100 != 2 {
		return &StatusError{URL: url, Status: response.StatusCode, Body: string(content)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(content, out); err != nil {
		return &OperationError{Name: url, Cause: err}
	}
	return nil
}
