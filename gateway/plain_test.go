package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// whole is the answer of a runner that works.
var whole = standin.Behaviour{Body: "answer"}

func TestPlainRequests(t *testing.T) {
	for _, scenario := range []struct {
		name string
		path string
		// first and second are the scripts of the preferred runner and of the
		// other one.
		first, second standin.Behaviour
		status        int
		body          string
		// arrivals counts the requests at each runner.
		arrivals []int
	}{
		{"answered", "/once/a", whole, whole, 200, "answer", []int{1, 0}},
		{"a failure of the runner is passed on as it is", "/once/a", standin.Behaviour{Status: 500, Body: "no"}, whole, 500, "no", []int{1, 0}},
		{"an idempotent request is sent again after a failure", "/again/a", standin.Behaviour{Status: 500, Body: "no"}, whole, 200, "answer", []int{1, 1}},
		{"a request that may have run is not sent again", "/once/a", standin.Behaviour{Reset: true}, whole, 502, "", []int{1, 0}},
		{"an idempotent request is sent again after a reset", "/again/a", standin.Behaviour{Reset: true}, whole, 200, "answer", []int{1, 1}},
		{"a rejected request is sent to another runner", "/once/a", standin.Behaviour{Status: 503, NotRun: true}, whole, 200, "answer", []int{1, 1}},
		{"an answer that is cut is not passed on", "/once/a", standin.Behaviour{Body: "answer", Cut: 2}, whole, 502, "", []int{1, 0}},
		{"an answer to another request is not passed on", "/once/a", standin.Behaviour{Body: "answer", AnswerTo: "attempt-9"}, whole, 502, "", []int{1, 0}},
		{"an idempotent request gets its own answer elsewhere", "/again/a", standin.Behaviour{Body: "else", AnswerTo: "attempt-9"}, whole, 200, "answer", []int{1, 1}},
		{"an unsigned answer is not passed on", "/once/a", standin.Behaviour{Body: "answer", Unsigned: true}, whole, 502, "", []int{1, 0}},
		{"an answer without a length ends with its connection", "/once/a", standin.Behaviour{Body: "answer", Unframed: true}, whole, 200, "answer", []int{1, 0}},
		{"an answer without a length that is reset is not whole", "/once/a", standin.Behaviour{Body: "answer", Unframed: true, ResetEnd: true}, whole, 502, "", []int{1, 0}},
		{"bytes that are no answer are not passed on", "/once/a", standin.Behaviour{Status: 99, Body: "x"}, whole, 502, "", []int{1, 0}},
		{"a runner's 503 without proof promises nothing", "/once/a", standin.Behaviour{Status: 503, Body: "busy"}, whole, 502, "", []int{1, 0}},
		{"a silent runner leaves time for another one", "/again/a", standin.Behaviour{Silent: true}, whole, 200, "answer", []int{1, 1}},
		{"an early answer is passed on", "/once/a", standin.Behaviour{Early: true, Status: 400, Body: "no"}, whole, 400, "no", []int{1, 0}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(scenario.first), always(scenario.second))
			got := r.send(scenario.path)
			r.c.Check(got.status, qt.Equals, scenario.status)
			r.c.Check(got.body, qt.Equals, scenario.body)
			r.c.Check(got.broken, qt.IsFalse)
			r.c.Check(r.arrivals(), qt.DeepEquals, scenario.arrivals)
		})
	}
}

func TestRefusalPromisesOnlyWithProof(t *testing.T) {
	rejected := standin.Behaviour{Status: 503, NotRun: true}
	for _, scenario := range []struct {
		name   string
		script standin.Behaviour
		status int
	}{
		{"rejected by every runner", rejected, http.StatusServiceUnavailable},
		{"broken off", standin.Behaviour{Reset: true}, http.StatusBadGateway},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(scenario.script), always(scenario.script))
			got := r.send("/once/a")
			r.c.Check(got.status, qt.Equals, scenario.status)
			promised := got.header.Get("Retry-After") != ""
			r.c.Check(promised, qt.Equals, scenario.status == http.StatusServiceUnavailable)
		})
	}
}

func TestAnswerThatTakesTooLongEndsAtTheDeadline(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Silent: true}))
	began := time.Now()
	got := r.send("/once/a", with(standin.HeaderPatience, "300"))
	r.c.Check(got.status, qt.Equals, http.StatusGatewayTimeout)
	r.c.Check(time.Since(began) < 600*time.Millisecond, qt.IsTrue)
}

func TestRouteTimeoutGoesBeforeTheCallersPatience(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Silent: true}))
	changed := spec()
	changed.Version = 2
	changed.Routes[0].Timeout = 200 * time.Millisecond
	r.set(changed)
	began := time.Now()
	got := r.send("/once/a", with(standin.HeaderPatience, "60000"))
	r.c.Check(got.status, qt.Equals, http.StatusGatewayTimeout)
	r.c.Check(time.Since(began) < time.Second, qt.IsTrue)
	left := r.runners[0].Arrivals()[0].Header.Get(standin.HeaderPatience)
	r.c.Check(len(left) <= 3, qt.IsTrue, qt.Commentf("the runner was given %s ms", left))
}

func TestExtraAnswerIsNotTakenForTheNextOne(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\n" + standin.HeaderCallID + ": attempt-0\r\n" + standin.HeaderSignature + ": s\r\nContent-Length: 5\r\n\r\nother"
	r := newRig(t, inTurn(standin.Behaviour{Body: "answer", Extra: extra}, whole))
	r.c.Assert(r.send("/once/a").body, qt.Equals, "answer")
	time.Sleep(50 * time.Millisecond)
	got := r.send("/once/a", with(standin.HeaderCallID, "attempt-2"))
	r.c.Check(got.body, qt.Equals, "answer")
	r.c.Check(got.header.Get(standin.HeaderCallID), qt.Equals, "attempt-2")
}

// TestEarlyAnswerToALongBody is a runner that answers before it has read the body
// and takes what follows on the connection for the rest of it.
func TestEarlyAnswerToALongBody(t *testing.T) {
	r := newRig(t, inTurn(standin.Behaviour{Early: true, Status: 400, Body: "no"}, whole))
	long := strings.Repeat("a long question ", 100000)
	got := r.send("/once/a", func(request *http.Request) {
		request.Body = io.NopCloser(strings.NewReader(long))
		request.ContentLength = int64(len(long))
	})
	r.c.Check(got.status, qt.Equals, http.StatusBadRequest)
	r.c.Check(r.send("/once/b").status, qt.Equals, http.StatusOK)
	first := r.runners[0].Arrivals()[0]
	r.c.Check(strings.HasPrefix(long, first.Body), qt.IsTrue, qt.Commentf("other bytes came in place of the body"))
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{2})
}

func TestClosedIdleConnectionCostsNoRequest(t *testing.T) {
	r := newRig(t, inTurn(whole, whole))
	r.c.Assert(r.send("/once/a").status, qt.Equals, http.StatusOK)
	r.c.Assert(r.send("/once/a").status, qt.Equals, http.StatusOK)
	r.c.Check(r.runners[0].Accepted(), qt.Equals, 1, qt.Commentf("the connection is used again"))
	closing := newRig(t, inTurn(standin.Behaviour{Body: "answer", Close: true}, whole))
	r.c.Assert(closing.send("/once/a").status, qt.Equals, http.StatusOK)
	r.c.Assert(closing.send("/once/a").status, qt.Equals, http.StatusOK)
	r.c.Check(closing.runners[0].Accepted(), qt.Equals, 2)
}

func TestWhatTheCallerMayNotSet(t *testing.T) {
	r := newRig(t, always(whole))
	r.c.Assert(r.send("/once/a?x=%2F..&y", with(standin.HeaderCustomer, "other"), with("X-Hold", "1"), with(standin.HeaderContinues, "h"),
		with(standin.HeaderRunner, "i-z"), with("X-Request-Urgency", "0"), with("X-Own", "kept"),
		with("Connection", "X-Secret"), with("X-Secret", "s")).status, qt.Equals, http.StatusOK)
	arrival := r.runners[0].Arrivals()[0]
	r.c.Check(arrival.Target, qt.Equals, "/once/a?x=%2F..&y")
	r.c.Check(arrival.Header.Get(standin.HeaderCustomer), qt.Equals, "library")
	r.c.Check(arrival.Header.Get(standin.HeaderRunner), qt.Equals, "i-a")
	r.c.Check(arrival.Header.Get("X-Own"), qt.Equals, "kept")
	for _, name := range []string{standin.HeaderKey, "X-Hold", standin.HeaderContinues, "X-Request-Urgency", "X-Secret"} {
		r.c.Check(arrival.Header.Get(name), qt.Equals, "", qt.Commentf("%s", name))
	}
}

func TestDeniedRequests(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		path   string
		change change
		status int
	}{
		{"no route", "/none/a", with("X-Own", ""), http.StatusNotFound},
		{"unknown key", "/once/a", with(standin.HeaderKey, "wrong"), http.StatusUnauthorized},
		{"deadline that is no number", "/once/a", with(standin.HeaderPatience, "soon"), http.StatusBadRequest},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(whole))
			r.c.Check(r.send(scenario.path, scenario.change).status, qt.Equals, scenario.status)
			r.c.Check(r.arrivals(), qt.DeepEquals, []int{0})
		})
	}
}

// TestRequestsAtADaemonThatHasJustStarted are those of all callers after a loss of
// power: they come before the daemon has read the configuration.
func TestRequestsAtADaemonThatHasJustStarted(t *testing.T) {
	r := newWaitingRig(t, always(whole))
	r.gateway.SetCatalog(nil)
	go func() {
		time.Sleep(50 * time.Millisecond)
		r.set(spec())
		r.gateway.Begin()
	}()
	for _, got := range r.sendMany("/once/a", 5) {
		r.c.Check(got.status, qt.Equals, http.StatusOK)
	}
	late := newWaitingRig(t, always(whole))
	late.gateway.SetCatalog(nil)
	began := time.Now()
	r.c.Check(late.send("/once/a").status, qt.Equals, http.StatusServiceUnavailable)
	r.c.Check(time.Since(began) < time.Second, qt.IsTrue)
}

func TestNoConfigurationYetIsNoDenial(t *testing.T) {
	r := newRig(t, always(whole))
	r.gateway.SetCatalog(nil)
	got := r.send("/once/a")
	r.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	r.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

func TestLongBodyIsRefused(t *testing.T) {
	r := newRig(t, always(whole))
	changed := spec()
	changed.Limits.MaxBodyBytes = 4
	r.set(changed)
	r.c.Check(r.send("/once/a").status, qt.Equals, http.StatusRequestEntityTooLarge)
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{0})
}

func TestPhasesOfARequestAreCounted(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Reset: true}), always(whole))
	r.c.Assert(r.send("/again/a").status, qt.Equals, http.StatusOK)
	recorder := httptest.NewRecorder()
	r.gateway.Meters.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	shown := recorder.Body.String()
	for _, line := range []string{
		`cranberrywalk_phase_seconds_count{Kind="Idempotent",Phase="Queue"} 1`,
		`cranberrywalk_phase_seconds_count{Kind="Idempotent",Phase="Connect"} 2`,
		`cranberrywalk_phase_seconds_count{Kind="Idempotent",Phase="Whole"} 1`,
	} {
		r.c.Check(strings.Contains(shown, line+"\n"), qt.IsTrue, qt.Commentf("%s in\n%s", line, shown))
	}
}

func TestLongHeaderIsRefused(t *testing.T) {
	r := newRig(t, always(whole))
	changed := spec()
	changed.Limits.MaxHeaderBytes = 1000
	r.set(changed)
	r.c.Check(r.send("/once/a").status, qt.Equals, http.StatusOK)
	long := with("X-Note", strings.Repeat("x", 1000))
	r.c.Check(r.send("/once/a", long).status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1})
}

func TestRequestThatCrashesRunnersIsStopped(t *testing.T) {
	crash := always(standin.Behaviour{Reset: true})
	r := newRig(t, crash, crash)
	for i := range 6 {
		r.send("/again/crash", with(standin.HeaderCallID, fmt.Sprint("attempt-", i)))
	}
	total := 0
	for _, count := range r.arrivals() {
		total += count
	}
	r.c.Check(total <= 4, qt.IsTrue, qt.Commentf("%d runs", total))
	r.c.Check(r.send("/again/crash").status, qt.Equals, http.StatusServiceUnavailable)
}

func TestQuotaIsRefusedWithATimeToComeBack(t *testing.T) {
	r := newRig(t, always(whole))
	changed := spec()
	changed.Customers[0].Quota.Rate, changed.Customers[0].Quota.Burst = 1, 2
	r.set(changed)
	r.c.Check(r.send("/once/a").status, qt.Equals, http.StatusOK)
	got := r.send("/once/a")
	r.c.Check(got.status, qt.Equals, http.StatusTooManyRequests)
	r.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1})
}

func TestRequestThatDidNotRunUsesNoQuota(t *testing.T) {
	r := newRig(t, inTurn(standin.Behaviour{Status: 503, NotRun: true}, whole))
	changed := spec()
	changed.Customers[0].Quota.Rate, changed.Customers[0].Quota.Burst = 0.001, 2
	r.set(changed)
	r.c.Check(r.send("/once/a").status, qt.Equals, http.StatusServiceUnavailable)
	r.c.Check(r.send("/once/a").status, qt.Equals, http.StatusOK)
}
