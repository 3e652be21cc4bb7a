package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// fakeLog is a log with one stream. Its appends may fail before or after they take
// effect.
type fakeLog struct {
	clock clock.Clock

	mu      sync.Mutex
	records []hosting.Record
	first   uint64
	isDown  bool
	// losesAnswers lets appends take effect without a response.
	losesAnswers bool
	// appended is closed and replaced by every append.
	appended chan struct{}
}

// Append implements hosting.Log.
func (f *fakeLog) Append(_ context.Context, _ string, payloads [][]byte) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDown {
		return 0, &hosting.UnavailableError{Service: "log"}
	}
	offset := f.first + uint64(len(f.records))
	for i, payload := range payloads {
		f.records = append(f.records, hosting.Record{Offset: offset + uint64(i), Payload: payload, Time: f.clock.Now()})
	}
	close(f.appended)
	f.appended = make(chan struct{})
	if f.losesAnswers {
		return 0, &hosting.UncertainError{Service: "log"}
	}
	return offset, nil
}

// Read implements hosting.Log. It waits for the next append instead of the given time.
func (f *fakeLog) Read(ctx context.Context, _ string, from uint64, _ int, wait time.Duration) (hosting.Batch, error) {
	for {
		f.mu.Lock()
		batch, err := f.read(from)
		appended := f.appended
		f.mu.Unlock()
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return hosting.Batch{}, &hosting.UnavailableError{Service: "log", Cause: ctx.Err()}
		}
	}
}

func (f *fakeLog) read(from uint64) (hosting.Batch, error) {
	if f.isDown {
		return hosting.Batch{}, &hosting.UnavailableError{Service: "log"}
	}
	if from < f.first {
		return hosting.Batch{}, &hosting.TrimmedError{From: from, First: f.first}
	}
	batch := hosting.Batch{First: f.first, Next: f.first + uint64(len(f.records))}
	if from < batch.Next {
		batch.Records = slices.Clone(f.records[from-f.first:])
	}
	return batch, nil
}

// trim removes every record.
func (f *fakeLog) trim() {
	f.first += uint64(len(f.records))
	f.records = nil
}

// fakeEngine is a runner's engine.
type fakeEngine struct {
	hosting.Engine
	checksFencing bool

	models []string
	// highestFencing is the highest fencing token of the orders that took effect.
	highestFencing uint64
	// orders has the fencing tokens of the orders that took effect.
	orders []uint64
	// isDelayed holds orders back until deliver is called.
	isDelayed bool
	delayed   []hosting.Order
	// losesAnswers lets orders take effect without a response.
	losesAnswers bool
	// onHang, if set, runs during an order, which then gets no response.
	onHang func()
}

// Load implements hosting.Engine.
func (e *fakeEngine) Load(context.Context) (hosting.LoadReport, error) {
	return hosting.LoadReport{Models: slices.Clone(e.models)}, nil
}

// Order implements hosting.Engine.
func (e *fakeEngine) Order(ctx context.Context, order hosting.Order) error {
	if e.onHang != nil {
		e.onHang()
		<-ctx.Done()
		return &hosting.UncertainError{Service: "engine", Cause: ctx.Err()}
	}
	if e.isDelayed {
		e.delayed = append(e.delayed, order)
		return &hosting.UncertainError{Service: "engine"}
	}
	if e.checksFencing && order.Fencing < e.highestFencing {
		return &hosting.FencedError{Fencing: order.Fencing, Seen: e.highestFencing}
	}
	e.highestFencing = max(e.highestFencing, order.Fencing)
	e.models = order.Models
	e.orders = append(e.orders, order.Fencing)
	if e.losesAnswers {
		return &hosting.UncertainError{Service: "engine"}
	}
	return nil
}

// deliver executes the delayed orders.
func (e *fakeEngine) deliver() {
	e.isDelayed = false
	for _, order := range e.delayed {
		// An order that is refused has no effect.
		_ = e.Order(context.Background(), order)
	}
	e.delayed = nil
}

// fakeCloud starts one VM for each request identity.
type fakeCloud struct {
	hosting.Cloud
	refusedZones []string
	losesAnswers bool
	// requests has all requests in the order received.
	requests []hosting.StartRequest
	started  map[string]hosting.VM
}

// Start implements hosting.Cloud.
func (c *fakeCloud) Start(_ context.Context, request hosting.StartRequest) (hosting.VM, error) {
	c.requests = append(c.requests, request)
	if slices.Contains(c.refusedZones, request.Zone) {
		return hosting.VM{}, &hosting.NoCapacityError{Zone: request.Zone, Class: request.Class}
	}
	vm, found := c.started[request.Identity]
	if !found {
		vm = hosting.VM{
			Name: "new-" + request.Identity, Role: request.Role, Zone: request.Zone, Class: request.Class,
			Reclaimable: request.Reclaimable, Models: request.Models,
		}
		c.started[request.Identity] = vm
	}
	if c.losesAnswers {
		return hosting.VM{}, &hosting.UncertainError{Service: "cloud"}
	}
	return vm, nil
}

// fakeWeights is a weight store that delays every transfer by wait.
type fakeWeights struct {
	wait time.Duration
	// onReserve is called by every reservation.
	onReserve func()
	reserved  int
}

// Size implements hosting.WeightStore.
func (w *fakeWeights) Size(context.Context, string) (int64, error) { return 1, nil }

// Reserve implements hosting.WeightStore.
func (w *fakeWeights) Reserve(context.Context, int64) (time.Duration, error) {
	w.reserved++
	w.onReserve()
	return w.wait, nil
}
