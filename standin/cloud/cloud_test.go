package cloud_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/standin/cloud"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ctx   = context.Background()
)

// driver calls a cloud with one runner through the hostinghttp clients.
type driver struct {
	*qt.C
	clock   *clockwork.FakeClock
	standin *cloud.Cloud
	list    *hostinghttp.VMList
	cloud   *hostinghttp.Cloud
	weights *hostinghttp.WeightStore
}

func newDriver(t *testing.T) *driver {
	d := &driver{C: qt.New(t), clock: clock.NewFake(start)}
	parameters := cloud.DefaultParameters()
	parameters.ZoneFactors = map[string]float64{"a": 0.8}
	d.standin = cloud.New(d.clock, parameters, []hosting.VM{{Name: "runner-1"}})
	server := httptest.NewServer(d.standin)
	d.Cleanup(server.Close)
	d.list = hostinghttp.NewVMList(server.URL, server.Client())
	d.cloud = hostinghttp.NewCloud(server.URL, server.Client())
	d.weights = hostinghttp.NewWeightStore(server.URL, server.Client())
	return d
}

func (d *driver) vms() []hosting.VM {
	snapshot, err := d.list.VMs(ctx)
	d.Assert(err, qt.IsNil)
	return snapshot.VMs
}

func TestReclaimNoticePrecedesListChange(t *testing.T) {
	d := newDriver(t)
	d.standin.Reclaim([]string{"runner-1"}, 5*time.Second)

	notices, err := d.cloud.Notices(ctx, 0, time.Second)

	d.Assert(err, qt.IsNil)
	d.Assert(notices, qt.DeepEquals, []hosting.Notice{{Sequence: 1, VM: "runner-1", Deadline: start.Add(5 * time.Second)}})
	d.Assert(d.vms()[0].Leaving, qt.IsFalse)
	d.clock.Advance(cloud.DefaultParameters().ListLag)
	d.Assert(d.vms()[0].Leaving, qt.IsTrue)
}

func TestPollWaitsForNotice(t *testing.T) {
	d := newDriver(t)
	polled := make(chan []hosting.Notice, 1)
	go func() {
		notices, _ := d.cloud.Notices(ctx, 0, 20*time.Second)
		polled <- notices
	}()
	d.Assert(d.clock.BlockUntilContext(ctx, 1), qt.IsNil)

	d.standin.Reclaim([]string{"runner-1"}, 0)

	d.Assert(<-polled, qt.HasLen, 1)
}

func TestStartAndStop(t *testing.T) {
	d := newDriver(t)
	request := hosting.StartRequest{Identity: "s1", Zone: "a", Class: "large", Reclaimable: true}
	vm, err := d.cloud.Start(ctx, request)
	d.Assert(err, qt.IsNil)
	d.Assert(vm.Price, qt.Equals, 0.8)

	again, err := d.cloud.Start(ctx, request)

	d.Assert(err, qt.IsNil)
	d.Assert(again, qt.DeepEquals, vm)
	d.Assert(d.vms(), qt.HasLen, 1)
	d.clock.Advance(time.Minute)
	d.Assert(d.vms(), qt.HasLen, 2)
	d.Assert(d.cloud.Stop(ctx, vm.Name), qt.IsNil)
	d.Assert(d.cloud.Stop(ctx, vm.Name), qt.IsNil)
	d.clock.Advance(time.Minute)
	d.Assert(d.vms(), qt.HasLen, 1)
}

func TestFaults(t *testing.T) {
	d := newDriver(t)
	d.standin.SetFaults(cloud.Faults{RefuseStarts: []string{"a"}})
	_, err := d.cloud.Start(ctx, hosting.StartRequest{Zone: "a"})
	var refused *hosting.NoCapacityError
	d.Assert(errors.As(err, &refused), qt.IsTrue)
	_, err = d.cloud.Start(ctx, hosting.StartRequest{Zone: "b"})
	d.Assert(err, qt.IsNil)

	d.standin.SetFaults(cloud.Faults{Outage: true})
	_, err = d.list.VMs(ctx)
	var unavailable *hosting.UnavailableError
	d.Assert(errors.As(err, &unavailable), qt.IsTrue)
}

func TestTransfersQueueAtTheTransferRate(t *testing.T) {
	d := newDriver(t)
	size, err := d.weights.Size(ctx, "teacher")
	d.Assert(err, qt.IsNil)
	for _, want := range []time.Duration{0, 8 * time.Second, 16 * time.Second} {
		wait, err := d.weights.Reserve(ctx, size)
		d.Assert(err, qt.IsNil)
		d.Assert(wait, qt.Equals, want)
	}
}

func TestFullListIsSentOnlyAfterChange(t *testing.T) {
	d := newDriver(t)
	for range 3 {
		d.Assert(d.vms(), qt.HasLen, 1)
	}
	d.Assert(d.standin.FullLists(), qt.Equals, int64(1))

	d.standin.Reclaim([]string{"runner-1"}, time.Second)
	d.clock.Advance(cloud.DefaultParameters().ListLag)

	d.Assert(d.vms()[0].Leaving, qt.IsTrue)
	d.Assert(d.standin.FullLists(), qt.Equals, int64(2))
}
