// Package cloud is a stand-in for the platform's VM list, cloud API and weight
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
	// ListLag is the delay until a change appears in the VM list.
	ListLag time.Duration
	// OnDemandPrice and ReclaimablePrice are the prices per hour of the VMs
	// that the cloud starts.
	OnDemandPrice    float64
	ReclaimablePrice float64
	// ZoneFactors holds the factor by which prices are multiplied in each
	// availability zone; it is 1 for zones without an entry.
	ZoneFactors map[string]float64
	// ModelBytes is the size of every model in the weight store.
	ModelBytes int64
	// WeightBytesPerSecond is the transfer rate of the weight store.
	WeightBytesPerSecond float64
}

// DefaultParameters returns the parameters of a cloud whose VM list lags by two
// seconds.
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
	// Hang leaves requests without a response during an outage.
	Hang bool
	// RefuseStarts lists the zones without capacity for new VMs; "*" stands
	// for every zone.
	RefuseStarts []string
	// Delay is added to every request.
	Delay standin.Duration
}

// Cloud is the simulated cloud. It is an http.Handler.
type Cloud struct {
	chi.Router
	// fullLists counts the responses with a full VM list.
	fullLists  atomic.Int64
	clock      clock.Clock
	parameters Parameters
	faults     standin.Faults[Faults]

	mu sync.Mutex
	// versions holds the states of the VM list in order. The first was visible
	// at the last request, and the last is the actual state.
	versions []listVersion
	notices  []hosting.Notice
	// noticesAdded is closed and replaced whenever notices are added.
	noticesAdded chan struct{}
	// started holds the VM of each start request, by the request's Identity,
	// or by the VM's name when the request has none.
	started map[string]hosting.VM
	// spares holds the addresses that VMs started later will get.
	spares []string
	// transfersUntil is the time at which the weight store has completed all
	// reserved transfers.
	transfersUntil time.Time
}

// New returns a cloud whose VM list contains the VMs from the start.
func New(c clock.Clock, parameters Parameters, vms []hosting.VM) *Cloud {
	cloud := &Cloud{
		Router:       chi.NewRouter(),
		clock:        c,
		parameters:   parameters,
		versions:     []listVersion{{snapshot: hosting.VMSnapshot{Version: 1, VMs: vms}}},
		noticesAdded: make(chan struct{}),
		started:      map[string]hosting.VM{},
	}
	cloud.Handle("/control/faults", &cloud.faults)
	cloud.Put("/vms", cloud.replaceList)
	cloud.Post("/notices", cloud.postNotices)
	cloud.Put("/spares", cloud.replaceSpares)
	cloud.Group(cloud.routes)
	return cloud
}

// routes adds the routes that faults apply to.
func (c *Cloud) routes(router chi.Router) {
	router.Use(c.applyFaults)
	router.Get("/vms", c.getList)
	router.Get("/notices", c.pollNotices)
	router.Post("/vms/start", c.startVM)
	router.Post("/vms/{Name}/stop", c.stopVM)
	router.Get("/weights/{Model}", c.modelSize)
	router.Post("/weights/reserve", c.reserveTransfer)
}

// SetFaults replaces the active faults.
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
