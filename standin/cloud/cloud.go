// Package cloud is a stand-in of the platform's VM list, cloud API and weight
// store.
package cloud

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// Parameters describe the cloud.
type Parameters struct {
	// ListLag is the time after which a change shows in the VM list.
	ListLag time.Duration
	// OnDemandPrice and ReclaimablePrice are the costs of one hour of the
	// VMs that the cloud starts.
	OnDemandPrice    float64
	ReclaimablePrice float64
	// ZoneFactors multiply the prices in availability zones; 1 without an
	// entry.
	ZoneFactors map[string]float64
	// ModelBytes is the size of every model in the weight store.
	ModelBytes int64
	// WeightBytesPerSecond is the transfer rate of the weight store.
	WeightBytesPerSecond float64
}

// DefaultParameters returns a cloud whose list lags by two seconds.
func DefaultParameters() Parameters {
	return Parameters{
		ListLag:              2 * time.Second,
		OnDemandPrice:        3,
		ReclaimablePrice:     1,
		ModelBytes:           16 << 30,
		WeightBytesPerSecond: 2 << 30,
	}
}

// Faults are the faults of the cloud.
type Faults struct {
	// Outage makes every request fail, with status 503 unless Hang is set.
	Outage bool
	// Hang makes the requests in an outage wait without an answer.
	Hang bool
	// RefuseStarts lists the zones that have no capacity; "*" stands for
	// every zone.
	RefuseStarts []string
	// Delay is added to every request.
	Delay standin.Duration
}

// Cloud is the stand-in. It is an http.Handler.
type Cloud struct {
	chi.Router
	// wholeLists counts the lists that were sent whole.
	wholeLists atomic.Int64
	clock      clock.Clock
	parameters Parameters
	faults     standin.Faults[Faults]

	mu sync.Mutex
	// versions are the states of the list in order; the last is the truth.
	versions []version
	notices  []hosting.Notice
	// noticed is closed and replaced by every notice.
	noticed chan struct{}
	// started holds the VM of each identity of a start.
	started map[string]hosting.VM
	// spares are the addresses for VMs to be started.
	spares []string
	// transfersUntil is when the weight store has served every reservation.
	transfersUntil time.Time
}

// New returns a cloud whose list shows the VMs at once.
func New(c clock.Clock, parameters Parameters, vms []hosting.VM) *Cloud {
	cloud := &Cloud{
		Router:     chi.NewRouter(),
		clock:      c,
		parameters: parameters,
		versions:   []version{{snapshot: hosting.VMSnapshot{Version: 1, VMs: vms}}},
		noticed:    make(chan struct{}),
		started:    map[string]hosting.VM{},
	}
	cloud.Handle("/control/faults", &cloud.faults)
	cloud.Put("/vms", cloud.replace)
	cloud.Post("/notices", cloud.announce)
	cloud.Put("/spares", cloud.replaceSpares)
	cloud.Group(cloud.routes)
	return cloud
}

// routes adds the requests that faults apply to.
func (c *Cloud) routes(router chi.Router) {
	router.Use(c.applyFaults)
	router.Get("/vms", c.list)
	router.Get("/notices", c.poll)
	router.Post("/vms/start", c.start)
	router.Post("/vms/{Name}/stop", c.stop)
	router.Get("/weights/{Model}", c.size)
	router.Post("/weights/reserve", c.reserve)
}

// SetFaults replaces the faults that are switched on.
func (c *Cloud) SetFaults(faults Faults) { c.faults.Set(faults) }

func (c *Cloud) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := c.faults.Get()
		if faults.Delay > 0 {
			if err := clock.Sleep(r.Context(), c.clock, time.Duration(faults.Delay)); err != nil {
				standin.Abort()
			}
		}
		if faults.Outage && faults.Hang {
			standin.Hang(r)
		}
		if faults.Outage {
			http.Error(w, "the cloud has an outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
