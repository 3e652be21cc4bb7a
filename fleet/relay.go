package fleet

import "github.com/cranberrywalk/cranberrywalk/standin/relay"

// A relay of a daemon has the name of the daemon with one of these suffixes.
const (
	// PeerRelaySuffix names the relay in front of the daemon's peer listener.
	PeerRelaySuffix = "/peers"
	// PlatformRelaySuffix names the relay between the daemon and the platform.
	PlatformRelaySuffix = "/platform"
)

// addRelay starts a relay that forwards to the target and returns its address.
func (f *Fleet) addRelay(name, target string) (string, error) {
	r, err := relay.New(target)
	if err != nil {
		return "", &OperationError{Name: name, Cause: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relays[name] = r
	return r.Address(), nil
}

// Relay returns the relay of that name, or nil.
func (f *Fleet) Relay(name string) *relay.Relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relays[name]
}

func (f *Fleet) closeRelays() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.relays {
		r.Close()
	}
}
