package service_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/standin"
	"github.com/cranberrywalk/cranberrywalk/standin/service"
)

// confirm sends a placement confirmation. It returns the status and the request
// ID of the response, and the error of sending the request or reading the body.
func confirm(server *httptest.Server) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, server.URL+"/placements", strings.NewReader(`{"School":"12"}`))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Idempotency-Key", "k1")
	request.Header.Set("X-Request-Id", "r1")
	response, err := server.Client().Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("X-Request-Id"), err
}

func TestRunsAreCountedUnderFaults(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		fault  service.Fault
		status int
		id     string
		fails  bool
		runs   int
	}{
		{"no fault", service.FaultNone, http.StatusOK, "r1", false, 1},
		{"response lost", service.FaultLoseResponse, 0, "", true, 1},
		{"response truncated", service.FaultTruncate, http.StatusOK, "r1", true, 1},
		{"response with a foreign ID", service.FaultCross, http.StatusOK, "foreign-r1", false, 1},
		{"refusal of another request", service.FaultRepeatRefusal, http.StatusServiceUnavailable, "foreign-r1", false, 1},
		{"refused", service.FaultRefuse, http.StatusServiceUnavailable, "", false, 0},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			s := service.New(clock.Real(), service.Parameters{Name: "placements"})
			server := httptest.NewServer(s)
			defer server.Close()
			s.SetFaults(service.Faults{CountedFault: standin.CountedFault[service.Fault]{Fault: scenario.fault, Count: 1}})

			status, id, err := confirm(server)

			c.Assert(err != nil, qt.Equals, scenario.fails)
			c.Assert(status, qt.Equals, scenario.status)
			c.Assert(id, qt.Equals, scenario.id)
			c.Assert(s.Runs().Keys["k1"], qt.Equals, scenario.runs)
			_, _, err = confirm(server)
			c.Assert(err, qt.IsNil)
			c.Assert(s.Runs().Requests["r1"], qt.Equals, scenario.runs+1)
		})
	}
}

func TestSlowRequestIsCountedBeforeItsResponse(t *testing.T) {
	c := qt.New(t)
	fake := clock.NewFake(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	s := service.New(fake, service.Parameters{Delay: time.Second})
	server := httptest.NewServer(s)
	defer server.Close()
	s.SetFaults(service.Faults{Delay: standin.Duration(time.Minute)})
	answered := make(chan int, 1)
	go func() {
		status, _, _ := confirm(server)
		answered <- status
	}()
	c.Assert(fake.BlockUntilContext(context.Background(), 1), qt.IsNil)
	c.Assert(s.Runs().Total, qt.Equals, 1)

	fake.Advance(time.Minute + time.Second)

	c.Assert(<-answered, qt.Equals, http.StatusOK)
}

func TestControlInterface(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(service.New(clock.Real(), service.Parameters{}))
	defer server.Close()
	_, _, err := confirm(server)
	c.Assert(err, qt.IsNil)

	response, err := http.Get(server.URL + "/control/runs")
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var runs standin.Runs
	c.Assert(json.NewDecoder(response.Body).Decode(&runs), qt.IsNil)
	c.Assert(runs.Keys, qt.DeepEquals, map[string]int{"k1": 1})

	misspelt, err := http.Post(server.URL+"/control/faults", "application/json", strings.NewReader(`{"Falt":"Silent"}`))
	c.Assert(err, qt.IsNil)
	c.Assert(misspelt.Body.Close(), qt.IsNil)
	c.Assert(misspelt.StatusCode, qt.Equals, http.StatusBadRequest)
}
