package fleet

import "github.com/cranberrywalk/cranberrywalk/standin/relay"

// The relays of a daemon are named after it, with one of these suffixes.
const (
	// PeerSide is the relay before the daemon's peer listener.
	PeerSide = "/peers"
	// PlatformSide is the relay between the daemon and the platform.
	PlatformSide = "/platform"
)

// addRelay puts a relay before an address and returns the relay's address.
func (f *Fleet) addRelay(name, target string) (string, error) {
	r, err := relay.New(target)
	if err != nil {
		return "", &StartError{Name: name, Cause: err}
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
