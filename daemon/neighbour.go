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

// neighbour implements peer.Handler: it collects what the daemon tells its
// peers, and hands what they tell to the other parts.
type neighbour struct {
	telemetry.Common
	name          string
	configuration *configuration.Follower
	keeper        *keeper
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

var _ peer.Handler = (*neighbour)(nil)

// Digest implements peer.Handler.
func (n *neighbour) Digest() peer.Digest {
	now := n.Clock.Now()
	digest := peer.Digest{
		ConfigurationOffset: n.configuration.Offset(),
		Loads:               n.chooser.ownLoads(n.name, now),
		Demands:             n.demands(now),
	}
	for _, member := range n.keeper.Roster().Leaving() {
		digest.Leaving = append(digest.Leaving, peer.Leaving{VM: member.VM.Name, Deadline: member.Deadline})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	digest.Draining = n.draining
	digest.Suspects = n.ownSuspects(now)
	return digest
}

// demands returns the use of the plans in force.
func (n *neighbour) demands(now time.Time) []peer.Demand {
	state, _ := n.configuration.State()
	return n.admitter.demands(state.Plans(), now)
}

// ownSuspects returns the crashes that this daemon has seen, of requests that
// no later answer has cleared.
func (n *neighbour) ownSuspects(now time.Time) []peer.Suspect {
	suspected := make(map[uint64]bool)
	for _, entry := range n.suspects.Entries(now) {
		suspected[entry.Fingerprint] = true
	}
	var own []peer.Suspect
	for fingerprint, seen := range n.crashes {
		if !suspected[fingerprint] {
			delete(n.crashes, fingerprint)
			continue
		}
		own = append(own, seen)
	}
	return own
}

// Merge implements peer.Handler.
func (n *neighbour) Merge(news peer.Digest) {
	n.chooser.mergeLoads(news.Loads)
	n.admitter.merge(news.Identity, news.Demands, n.Clock.Now())
	for _, leaving := range news.Leaving {
		n.keeper.apply(roster.Reported{VM: leaving.VM, Deadline: leaving.Deadline})
	}
	for _, seen := range news.Suspects {
		if seen.Reporter == n.name {
			continue
		}
		n.suspects.Merge([]suspect.Entry{newSuspectEntry(seen)}, n.Clock.Now())
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
func (n *neighbour) addCrash(entry suspect.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := n.crashes[entry.Fingerprint]
	seen.Fingerprint = entry.Fingerprint
	seen.Crashes++
	seen.Expires = entry.Expires
	n.crashes[entry.Fingerprint] = seen
}

// drain makes the digests say that the daemon is about to stop.
func (n *neighbour) drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// Configuration implements peer.Handler.
func (n *neighbour) Configuration() (snapshot []byte, offset uint64) {
	return n.configuration.Snapshot()
}

// Install implements peer.Handler.
func (n *neighbour) Install(snapshot []byte, _ uint64) error {
	return n.configuration.Adopt(snapshot)
}

// Answer implements peer.Handler.
func (n *neighbour) Answer(ctx context.Context, key string) (peer.Answer, error) {
	given, err := n.answers.Wait(ctx, claim.Key(key))
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
