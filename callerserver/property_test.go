package callerserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// ids is a set of requests.
type ids struct {
	mutex sync.Mutex
	held  map[string]int
}

func (s *ids) add(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held == nil {
		s.held = make(map[string]int)
	}
	s.held[id]++
}

// TestEachRequestThatRunsIsAnswered plays callers with kept connections, short idle
// timeouts and stops at random times: whatever a handler has taken is answered.
func TestEachRequestThatRunsIsAnswered(t *testing.T) {
	const plays, callers = 60, 30
	ended := 0
	for play := range plays {
		random := rand.New(rand.NewPCG(uint64(play), 1))
		var ran, answered ids
		idle := time.Duration(random.IntN(4)) * time.Millisecond
		server := callerserver.New(telemetry.NewCommon(), callerserver.Options{
			Timeouts: func() callerserver.Timeouts { return callerserver.Timeouts{Idle: idle, Header: 20 * time.Millisecond} },
		}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.add(r.URL.Path)
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(time.Duration(len(r.URL.Path)%3) * time.Millisecond)
			w.WriteHeader(http.StatusOK)
			_, _ = io.WriteString(w, r.URL.Path)
		}))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		var done sync.WaitGroup
		for caller := range callers {
			done.Go(func() { call(listener.Addr().String(), caller, &answered, uint64(play)) })
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		server.BeginStop()
		time.Sleep(time.Duration(random.IntN(6)) * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		qt.Check(t, server.Drain(ctx, callerserver.LastAnswersTime), qt.IsNil)
		cancel()
		_ = server.Close()
		qt.Check(t, <-served, qt.IsNil)
		done.Wait()
		qt.Check(t, answered.held, qt.DeepEquals, ran.held, qt.Commentf("play %d", play))
		ended += len(ran.held)
	}
	t.Logf("%d requests ran", ended)
}

// call sends requests on kept connections until the server accepts none.
func call(address string, caller int, answered *ids, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(caller)))
	number := 0
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		for {
			time.Sleep(time.Duration(random.IntN(4000)) * time.Microsecond)
			number++
			id := fmt.Sprintf("/%d-%d", caller, number)
			body := "0123456789"[:random.IntN(10)]
			content := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: library\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			cut := random.IntN(len(content))
			if random.IntN(4) > 0 {
				cut = 0
			}
			if _, err := io.WriteString(conn, content[:cut]); err != nil {
				break
			}
			if cut > 0 {
				time.Sleep(time.Duration(random.IntN(500)) * time.Microsecond)
			}
			if _, err := io.WriteString(conn, content[cut:]); err != nil {
				break
			}
			got, closes, err := readBody(reader)
			if err != nil || got != id {
				break
			}
			answered.add(id)
			if closes {
				break
			}
		}
		_ = conn.Close()
	}
}

// readBody reads an answer and returns its body, and whether the connection closes.
func readBody(reader *bufio.Reader) (body string, closes bool, err error) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", false, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return string(content), answer.Close, err
}
