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

// vmList is the body by which the VM list of the stand-in is replaced.
type vmList struct {
	VMs []hosting.VM
}

// announcement announces reclaims at the stand-in of the cloud API.
type announcement struct {
	VMs []string
	// Notice is a duration such as 5s.
	Notice string
}

func (f *Fleet) putVMs() error {
	f.mu.Lock()
	list := vmList{VMs: slices.Clone(f.vms)}
	f.mu.Unlock()
	return Control(http.MethodPut, f.PlatformURL+"/vms", list, nil)
}

// Announce gives notice that VMs are reclaimed after the delay.
func (f *Fleet) Announce(delay time.Duration, vms ...string) error {
	body := announcement{VMs: vms, Notice: delay.String()}
	return Control(http.MethodPost, f.PlatformURL+"/notices", body, nil)
}

// SetFaults switches the faults of a stand-in; body is its faults message. The
// name platform stands for the log service, and cloud for the cloud API and
// the VM list.
func (f *Fleet) SetFaults(name string, body any) error {
	path := "/control/faults"
	if name == "cloud" {
		name, path = "platform", "/cloud/control/faults"
	}
	return Control(http.MethodPost, f.controlURL(name)+path, body, nil)
}

func (f *Fleet) setControl(name, url string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controls[name] = url
}

// controlURL returns the base URL of a stand-in, past any relay.
func (f *Fleet) controlURL(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controls[name]
}

// Control sends a JSON message and reads a JSON answer into out unless out is
// nil.
func Control(method, url string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return &StartError{Name: url, Cause: err}
		}
	}
	request, err := http.NewRequest(method, url, &body)
	if err != nil {
		return &StartError{Name: url, Cause: err}
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return &StartError{Name: url, Cause: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return &StartError{Name: url, Cause: err}
	}
	if response.StatusCode/100 != 2 {
		return &StatusError{URL: url, Status: response.StatusCode, Body: string(content)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(content, out); err != nil {
		return &StartError{Name: url, Cause: err}
	}
	return nil
}
