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

// peerHandler implements peer.Handler: it collects what the daemon tells its
// peers, and hands what they tell to the other parts.
type peerHandler struct {
	telemetry.Common
	name          string
	configuration *configuration.Follower
	membership    *membership
	chooser       *chooser
	answers       *answer.Store
	suspects      *suspect.Book
	admitter      *admitter

	// mu guards what follows.
	mu sync.Mutex
	// crashes holds the crashes that this daemon itself has seen.
	crashes map[uint64]peer.Suspect
	// draining never goes back to false.
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
	for _, member := range h.membership.Roster().Leaving() {
		digest.Leaving = append(digest.Leaving, peer.Leaving{VM: member.VM.Name, Deadline: member.Deadline})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	digest.Draining = h.draining
	digest.Suspects = h.ownSuspects(now)
	return digest
}

// demands returns the use of the plans in force.
func (h *peerHandler) demands(now time.Time) []peer.Demand {
	state, _ := h.configuration.State()
	return h.admitter.demands(state.Plans(), now)
}

// ownSuspects returns the crashes that this daemon has seen, of requests that
// no later answer has cleared.
func (h *peerHandler) ownSuspects(now time.Time) []peer.Suspect {
	suspected := make(map[uint64]bool)
	for _, entry := range h.suspects.Entries(now) {
		suspected[entry.Fingerprint] = true
	}
	var own []peer.Suspect
	for fingerprint, seen := range h.crashes {
		if !suspected[fingerprint] {
			delete(h.crashes, fingerprint)
			continue
		}
		own = append(own, seen)
	}
	return own
}

// Merge implements peer.Handler.
func (h *peerHandler) Merge(news peer.Digest) {
	h.chooser.mergeLoads(news.Loads)
	h.admitter.merge(news.Identity, news.Demands, h.Clock.Now())
	for _, leaving := range news.Leaving {
		h.membership.apply(roster.Reported{VM: leaving.VM, Deadline: leaving.Deadline})
	}
	for _, seen := range news.Suspects {
		if seen.Reporter == h.name {
			continue
		}
		h.suspects.Merge([]suspect.Entry{newSuspectEntry(seen)}, h.Clock.Now())
	}
}

// newSuspectEntry names the crashes that one daemon has seen, so that crashes
// that are told twice count once.
func newSuspectEntry(seen peer.Suspect) suspect.Entry {
	entry := suspect.Entry{Fingerprint: seen.Fingerprint, Expires: seen.Expires}
	for i := range min(seen.Crashes, suspect.Threshold) {
		identity := suspect.Identity(seen.Reporter, strconv.FormatUint(seen.Fingerprint, 16), i)
		entry.Crashes = append(entry.Crashes, identity)
	}
	return entry
}

// addCrash notes a crash that this daemon has seen.
func (h *peerHandler) addCrash(entry suspect.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := h.crashes[entry.Fingerprint]
	seen.Fingerprint = entry.Fingerprint
	seen.Crashes++
	seen.Expires = entry.Expires
	h.crashes[entry.Fingerprint] = seen
}

// drain makes the digests say that the daemon is about to stop.
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
	given, err := h.answers.Wait(ctx, claim.Key(key))
	var missing *answer.NotFoundError
	if errors.As(err, &missing) {
		return peer.Answer{State: peer.NotFound}, nil
	}
	if err != nil {
		return peer.Answer{State: peer.Pending}, nil
	}
	return peer.Answer{
		State:   peer.Final,
		Outcome: given.Outcome.String(),
		Status:  given.Status,
		Header:  http.Header(given.Header),
		Body:    given.Body,

		RetryAfter: given.RetryAfter,
	}, nil
}
