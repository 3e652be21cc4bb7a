package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform"
)

// controlTimeout bounds one control request.
const controlTimeout = 10 * time.Second

var controlClient = &http.Client{Timeout: controlTimeout}

// vmList is the body by which the VM list of the stand-in is replaced.
type vmList struct {
	VMs []platform.VM
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

// SetFaults switches faults of a stand-in; body is its typed faults message.
func SetFaults(baseURL string, body any) error {
	return Control(http.MethodPost, baseURL+"/control/faults", body, nil)
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
