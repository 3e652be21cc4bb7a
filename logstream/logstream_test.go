package logstream_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/logstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestSubscriptionStartsAtOffset(t *testing.T) {
	o := options()
	o.StartOffset = func(string) uint64 { return 1 }
	d := newDriver(t, newFakeLog("a", "b", "c"), o)

	m := <-d.messages

	offset, err := logstream.Offset(m)
	d.Assert(err, qt.IsNil)
	d.Assert(offset, qt.Equals, uint64(1))
	accepted, err := logstream.Time(m)
	d.Assert(err, qt.IsNil)
	d.Assert(accepted, qt.Equals, start)
	m.Ack()
	d.expect("c")
}

func TestPublishedMessageIsReceived(t *testing.T) {
	log := newFakeLog("a")
	caughtUp := make(chan uint64, 10)
	o := options()
	o.OnCaughtUp = func(_ string, next uint64) { caughtUp <- next }
	d := newDriver(t, log, o)
	d.expect("a")
	d.Assert(<-caughtUp, qt.Equals, uint64(1))
	publisher := logstream.NewPublisher(d.common, log, o.Timeout)
	published := message.NewMessage("id", []byte("b"))

	d.Assert(publisher.Publish(topic, published), qt.IsNil)

	d.expect("b")
	d.Assert(published.Metadata.Get(logstream.MetadataOffset), qt.Equals, "1")
	d.Assert(<-caughtUp, qt.Equals, uint64(2))
}

func TestNackedMessageIsRedelivered(t *testing.T) {
	o := options()
	d := newDriver(t, newFakeLog("a", "b"), o)

	(<-d.messages).Nack()
	d.passBackoff()

	d.expect("a", "b")
}

func TestSubscriptionSurvivesReadFaults(t *testing.T) {
	outage := &hosting.UnavailableError{Service: "log"}
	for _, scenario := range []struct {
		name     string
		failures []error
	}{
		{"one read fails", []error{outage}},
		{"several reads fail", []error{outage, outage, outage}},
		{"a response is lost", []error{&hosting.UncertainError{Service: "log"}}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			o := options()
			log := newFakeLog("a", "b")
			log.failures = scenario.failures
			d := newDriver(t, log, o)
			for range scenario.failures {
				d.passBackoff()
			}
			d.expect("a", "b")
		})
	}
}

func TestTrimmedRecords(t *testing.T) {
	const first = 5
	for _, scenario := range []struct {
		name    string
		trimmed func(calls int) (uint64, error)
		calls   int
		expect  []string
	}{
		{
			name:    "continues at the restored offset",
			trimmed: func(int) (uint64, error) { return first + 1, nil },
			calls:   1,
			expect:  []string{"b"},
		},
		{
			name: "retries a failed restore",
			trimmed: func(calls int) (uint64, error) {
				if calls == 1 {
					return 0, errors.New("no snapshot")
				}
				return first, nil
			},
			calls:  2,
			expect: []string{"a", "b"},
		},
		{
			name:    "rejects a restored offset that is also trimmed",
			trimmed: func(calls int) (uint64, error) { return uint64(first - 2 + calls), nil },
			calls:   2,
			expect:  []string{"a", "b"},
		},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			log := newFakeLog("a", "b")
			log.first = first
			calls := 0
			o := options()
			o.OnTrimmed = func(_ context.Context, trimmed *hosting.TrimmedError) (uint64, error) {
				calls++
				return scenario.trimmed(calls)
			}
			d := newDriver(t, log, o)
			for range scenario.calls - 1 {
				d.passBackoff()
			}
			d.expect(scenario.expect...)
			d.Assert(calls, qt.Equals, scenario.calls)
		})
	}
}

func TestHangingReadTimesOut(t *testing.T) {
	log := newFakeLog("a")
	log.failures = []error{errHang}
	o := options()
	o.Timeout = time.Second
	d := newDriver(t, log, o)
	d.Assert(d.clock.BlockUntilContext(context.Background(), 1), qt.IsNil)

	d.clock.Advance(o.Timeout)
	d.passBackoff()

	d.expect("a")
}

func TestCloseEndsSubscriptions(t *testing.T) {
	d := newDriver(t, newFakeLog("a"), options())
	m := <-d.messages

	d.Assert(d.subscriber.Close(), qt.IsNil)

	<-d.subscriber.Done()
	_, open := <-d.messages
	d.Assert(open, qt.IsFalse)
	d.Assert(m.Context().Err(), qt.IsNotNil)
	_, err := d.subscriber.Subscribe(context.Background(), topic)
	var closed *logstream.ClosedError
	d.Assert(errors.As(err, &closed), qt.IsTrue)
}
