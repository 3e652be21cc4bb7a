package hostinghttp_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/standin/logservice"
)

const stream = "Plans"

// newLog returns a client of a log stand-in that retains four records.
func newLog(c *qt.C) (*hostinghttp.Log, *logservice.Log) {
	service := logservice.New(clock.Real(), logservice.Parameters{RetainedRecords: 4})
	server := httptest.NewServer(service)
	c.Cleanup(server.Close)
	return hostinghttp.NewLog(server.URL, server.Client()), service
}

// errorKind names the type of an error.
func errorKind(err error) string {
	var unavailable *hosting.UnavailableError
	var uncertain *hosting.UncertainError
	var trimmed *hosting.TrimmedError
	var throttled *hosting.ThrottledError
	switch {
	case err == nil:
		return "None"
	case errors.As(err, &unavailable):
		return "Unavailable"
	case errors.As(err, &uncertain):
		return "Uncertain"
	case errors.As(err, &trimmed):
		return "Trimmed"
	case errors.As(err, &throttled):
		return "Throttled"
	default:
		return err.Error()
	}
}

func TestAppendedRecordsAreRead(t *testing.T) {
	c := qt.New(t)
	log, _ := newLog(c)
	ctx := context.Background()
	_, err := log.Append(ctx, stream, [][]byte{[]byte("a"), []byte("b")})
	c.Assert(err, qt.IsNil)

	offset, err := log.Append(ctx, stream, [][]byte{[]byte("c")})
	c.Assert(err, qt.IsNil)
	c.Assert(offset, qt.Equals, uint64(2))

	batch, err := log.Read(ctx, stream, 1, 10, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(batch.Next, qt.Equals, uint64(3))
	c.Assert(string(batch.Records[0].Payload)+string(batch.Records[1].Payload), qt.Equals, "bc")
}

func TestReadWaitsForTheNextRecord(t *testing.T) {
	c := qt.New(t)
	log, _ := newLog(c)
	batches := make(chan hosting.Batch, 1)
	go func() {
		batch, _ := log.Read(context.Background(), stream, 0, 10, 20*time.Second)
		batches <- batch
	}()

	_, err := log.Append(context.Background(), stream, [][]byte{[]byte("late")})

	c.Assert(err, qt.IsNil)
	c.Assert((<-batches).Records, qt.HasLen, 1)
}

func TestReadBelowRetentionReportsFirst(t *testing.T) {
	c := qt.New(t)
	log, _ := newLog(c)
	_, err := log.Append(context.Background(), stream, make([][]byte, 7))
	c.Assert(err, qt.IsNil)

	_, err = log.Read(context.Background(), stream, 1, 10, 0)

	var trimmed *hosting.TrimmedError
	c.Assert(errors.As(err, &trimmed), qt.IsTrue)
	c.Assert(trimmed.First, qt.Equals, uint64(3))
}

func TestAppendFaults(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		faults   logservice.Faults
		kind     string
		appended uint64
	}{
		{"refused in an outage", logservice.Faults{Outage: logservice.OutageAll}, "Unavailable", 0},
		{"only reads fail", logservice.Faults{Outage: logservice.OutageReads}, "None", 1},
		{"response lost", logservice.Faults{LoseAnswers: 1}, "Uncertain", 1},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			log, service := newLog(c)
			// A first read leaves an idle connection, which is reused.
			_, err := log.Read(context.Background(), stream, 0, 10, 0)
			c.Assert(err, qt.IsNil)
			service.SetFaults(scenario.faults)

			_, err = log.Append(context.Background(), stream, [][]byte{[]byte("a")})

			c.Assert(errorKind(err), qt.Equals, scenario.kind)
			service.SetFaults(logservice.Faults{})
			batch, err := log.Read(context.Background(), stream, 0, 10, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(batch.Next, qt.Equals, scenario.appended)
		})
	}
}

func TestAppendThatHangsIsUncertain(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		cancel()
		<-ctx.Done()
	}))
	defer server.Close()
	log := hostinghttp.NewLog(server.URL, server.Client())

	_, err := log.Append(ctx, stream, [][]byte{[]byte("a")})

	c.Assert(errorKind(err), qt.Equals, "Uncertain")
}

func TestUnresponsiveReadTimesOut(t *testing.T) {
	c := qt.New(t)
	log, service := newLog(c)
	service.SetFaults(logservice.Faults{Outage: logservice.OutageReads, Hang: true})

	_, err := log.WithTimeout(time.Millisecond).Read(context.Background(), stream, 0, 10, 0)

	c.Assert(errorKind(err), qt.Equals, "Unavailable")
	c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	log := hostinghttp.NewLog(server.URL, server.Client())
	server.Close()

	_, err := log.Append(context.Background(), stream, [][]byte{[]byte("a")})

	c.Assert(errorKind(err), qt.Equals, "Unavailable")
}
