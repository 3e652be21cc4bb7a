package daemon

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/configuration"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// peerHandler implements peer.Handler: it builds the digest that the daemon sends
// to its peers and passes received digests to the other components.
type peerHandler struct {
	telemetry.Common
	name          string
	configuration *configuration.Follower
	rosterWatcher *rosterWatcher
	chooser       *chooser
	answers       *answer.Store
	suspects      *suspect.Tracker
	admitter      *admitter

	// mu guards what follows.
	mu sync.Mutex
	// crashes holds the crashes that this daemon itself has observed, by request
	// fingerprint.
	crashes map[uint64]peer.Suspect
	// draining is never reset to false.
	draining bool
}

var _ peer.Handler = (*peerHandler)(nil)

// Digest implements peer.Handler.
func (h *peerHandler) Digest() peer.Digest {
	now := h.Clock.Now()
	digest := peer.Digest{
		ConfigurationOffset: h.configuration.Offset(),
		Loads:               h.chooser.ownLoads(h.name, now),
		Demands:             h.demands(now),
	}
	for _, member := range h.rosterWatcher.Roster().Leaving() {
		digest.Leaving = append(digest.Leaving, peer.Leaving{VM: member.VM.Name, Deadline: member.Deadline})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	digest.Draining = h.draining
	digest.Suspects = h.ownSuspects(now)
	return digest
}

// demands returns the rates at which this daemon uses the plans in force.
func (h *peerHandler) demands(now time.Time) []peer.Demand {
	state, _ := h.configuration.State()
	return h.admitter.demands(state.Plans(), now)
}

// ownSuspects returns the crashes that this daemon has observed. It drops those of
// requests that are no longer suspected, since a later attempt was answered or the
// entry has expired.
func (h *peerHandler) ownSuspects(now time.Time) []peer.Suspect {
	suspected := make(map[uint64]bool)
	for _, entry := range h.suspects.Entries(now) {
		suspected[entry.Fingerprint] = true
	}
	var own []peer.Suspect
	for fingerprint, crash := range h.crashes {
		if !suspected[fingerprint] {
			delete(h.crashes, fingerprint)
			continue
		}
		own = append(own, crash)
	}
	return own
}

// Merge implements peer.Handler.
func (h *peerHandler) Merge(received peer.Digest) {
	h.chooser.mergeLoads(received.Loads)
	h.admitter.merge(received.Identity, received.Demands, h.Clock.Now())
	for _, leaving := range received.Leaving {
		h.rosterWatcher.apply(roster.Reported{VM: leaving.VM, Deadline: leaving.Deadline})
	}
	for _, crash := range received.Suspects {
		if crash.Reporter == h.name {
			continue
		}
		h.suspects.Merge([]suspect.Entry{newSuspectEntry(crash)}, h.Clock.Now())
	}
}

// newSuspectEntry gives each crash that one daemon has observed a stable identity,
// so that a crash that is reported twice counts once.
func newSuspectEntry(crash peer.Suspect) suspect.Entry {
	entry := suspect.Entry{Fingerprint: crash.Fingerprint, Expires: crash.Expires}
	for i := range min(crash.Crashes, suspect.Threshold) {
		identity := suspect.CrashID(crash.Reporter, strconv.FormatUint(crash.Fingerprint, 16), i)
		entry.Crashes = append(entry.Crashes, identity)
	}
	return entry
}

// addCrash records a crash that this daemon has observed.
func (h *peerHandler) addCrash(entry suspect.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	crash := h.crashes[entry.Fingerprint]
	crash.Fingerprint = entry.Fingerprint
	crash.Crashes++
	crash.Expires = entry.Expires
	h.crashes[entry.Fingerprint] = crash
}

// drain announces in all further digests that the daemon is about to stop.
func (h *peerHandler) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// Configuration implements peer.Handler.
func (h *peerHandler) Configuration() (snapshot []byte, offset uint64) {
	return h.configuration.Snapshot()
}

// Install implements peer.Handler.
func (h *peerHandler) Install(snapshot []byte, _ uint64) error {
	return h.configuration.Adopt(snapshot)
}

// Answer implements peer.Handler.
func (h *peerHandler) Answer(ctx context.Context, key string) (peer.Answer, error) {
	stored, err := h.answers.Wait(ctx, claim.Key(key))
	var missing *answer.NotFoundError
	if errors.As(err, &missing) {
		return peer.Answer{State: peer.NotFound}, nil
	}
	if err != nil {
		return peer.Answer{State: peer.Pending}, nil
	}
	return peer.Answer{
		State:   peer.Final,
		Outcome: stored.Outcome.String(),
		Status:  stored.Status,
		Header:  http.Header(stored.Header),
		Body:    stored.Body,

		RetryAfter: stored.RetryAfter,
	}, nil
}
