package logservice_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/standin"
	"github.com/cranberrywalk/cranberrywalk/standin/logservice"
)

var ctx = context.Background()

func TestAppendsAreThrottled(t *testing.T) {
	c := qt.New(t)
	fake := clock.NewFake(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	server := httptest.NewServer(logservice.New(fake, logservice.Parameters{RetainedRecords: 10, AppendsPerSecond: 1}))
	defer server.Close()
	log := hostinghttp.NewLog(server.URL, server.Client())
	_, err := log.Append(ctx, "Claims", [][]byte{[]byte("a")})
	c.Assert(err, qt.IsNil)

	_, err = log.Append(ctx, "Claims", [][]byte{[]byte("b")})

	var throttled *hosting.ThrottledError
	c.Assert(errors.As(err, &throttled), qt.IsTrue)
	fake.Advance(time.Second)
	offset, err := log.Append(ctx, "Claims", [][]byte{[]byte("b")})
	c.Assert(err, qt.IsNil)
	c.Assert(offset, qt.Equals, uint64(1))
}

func TestOldRecordsAreTrimmed(t *testing.T) {
	c := qt.New(t)
	fake := clock.NewFake(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	server := httptest.NewServer(logservice.New(fake, logservice.Parameters{RetainedRecords: 10, Retention: time.Minute}))
	defer server.Close()
	log := hostinghttp.NewLog(server.URL, server.Client())
	for range 2 {
		_, err := log.Append(ctx, "Claims", [][]byte{[]byte("a")})
		c.Assert(err, qt.IsNil)
		fake.Advance(40 * time.Second)
	}

	batch, err := log.Read(ctx, "Claims", 1, 10, 0)

	c.Assert(err, qt.IsNil)
	c.Assert(batch.Records, qt.HasLen, 1)
	c.Assert(batch.First, qt.Equals, uint64(1))
}

func TestDelayAppliesAlsoToRefusedRequests(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		faults logservice.Faults
		fails  bool
	}{
		{"slow", logservice.Faults{Delay: standin.Duration(time.Minute)}, false},
		{"slow and refused", logservice.Faults{Delay: standin.Duration(time.Minute), Outage: logservice.OutageReads}, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			fake := clock.NewFake(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			service := logservice.New(fake, logservice.DefaultParameters())
			server := httptest.NewServer(service)
			defer server.Close()
			service.SetFaults(scenario.faults)
			read := make(chan error, 1)
			go func() {
				_, err := hostinghttp.NewLog(server.URL, server.Client()).Read(ctx, "Claims", 0, 1, 0)
				read <- err
			}()
			c.Assert(fake.BlockUntilContext(ctx, 1), qt.IsNil)

			fake.Advance(time.Minute)

			c.Assert(<-read != nil, qt.Equals, scenario.fails)
		})
	}
}

func TestHangingOutageEndsWithTheCaller(t *testing.T) {
	c := qt.New(t)
	fake := clock.NewFake(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	service := logservice.New(fake, logservice.DefaultParameters())
	server := httptest.NewServer(service)
	defer server.Close() // Close waits for the handler.
	service.SetFaults(logservice.Faults{Delay: standin.Duration(time.Minute), Outage: logservice.OutageAll, Hang: true})
	callerCtx, disconnect := context.WithCancel(ctx)
	appended := make(chan error, 1)
	go func() {
		_, err := hostinghttp.NewLog(server.URL, server.Client()).Append(callerCtx, "Claims", [][]byte{[]byte("a")})
		appended <- err
	}()
	c.Assert(fake.BlockUntilContext(ctx, 1), qt.IsNil)
	fake.Advance(time.Minute)

	disconnect()

	var uncertain *hosting.UncertainError
	c.Assert(errors.As(<-appended, &uncertain), qt.IsTrue)
}
