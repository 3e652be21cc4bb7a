package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// heartbeat is the time between two records that a runner writes.
const heartbeat = 1200 * time.Millisecond

// runner is a sound runner, which registers itself at the store. Its requests take workTime.
type runner struct {
	id, zone string
	born     time.Time
	rig      *rig
	address  string
	server   *http.Server
	workTime time.Duration
	// crashAfter is the time from the begin of a request with the body poison to the crash of the
	// runner; zero if such requests are sound.
	crashAfter time.Duration
	// onRun is called when a request begins to run. It may be nil.
	onRun func(id string, body []byte)

	mutex sync.Mutex
	// connections holds the open connections; guarded by mutex, as all fields below.
	connections map[net.Conn]struct{}
	sequence    int
	// writtenAt is when the last record was made.
	writtenAt time.Time
	isLeaving bool
	isClosed  bool
	// arrivals holds when each request that ran had arrived.
	arrivals []arrival
}

// arrival is a request that a runner began to run.
type arrival struct {
	id string
	at time.Time
}

// poison is the body of the requests that crash their runners.
const poison = "poison"

// addRunner starts a runner, which writes its record in each heartbeat.
func (r *rig) addRunner(options ...func(*runner)) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	number := len(r.runners)
	n := &runner{
		id: fmt.Sprintf("i-%04d", number+1), zone: "zone-" + string(rune('a'+number%4)), born: time.Now(), rig: r,
		address: listener.Addr().String(), workTime: 15 * time.Millisecond, connections: make(map[net.Conn]struct{}),
	}
	for _, option := range options {
		option(n)
	}
	n.server = &http.Server{Handler: n, ConnState: n.track}
	r.runners = append(r.runners, n)
	go func() { _ = n.server.Serve(listener) }()
	n.write(n.nextRecord())
	go n.beat()
	return n, nil
}

// nextRecord returns what the runner says of itself next.
func (n *runner) nextRecord() map[string]any {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sequence++
	n.writtenAt = time.Now()
	state := "ready"
	if n.isLeaving {
		state = "draining"
	}
	return map[string]any{
		"service": service, "address": n.address, "zone": n.zone, "version": "v1", "slots": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": n.sequence, "born": n.born.UnixMilli(),
	}
}

// write lets the store take a record of the runner.
func (n *runner) write(content map[string]any) {
	if err := n.rig.store.PutJSON(standin.TopicRunners, n.id, content); err != nil {
		n.rig.record.add("%s could not write its record: %v", n.id, err)
	}
}

// beat writes the record in each heartbeat until the runner is closed.
func (n *runner) beat() {
	for !n.closed() {
		if wait := n.timeToBeat(); wait > 0 {
			time.Sleep(wait)
			continue
		}
		n.write(n.nextRecord())
	}
}

func (n *runner) timeToBeat() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return heartbeat - time.Since(n.writtenAt)
}

func (n *runner) closed() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.isClosed
}

// leave reports that the runner is leaving and returns when the store has accepted that.
func (n *runner) leave() time.Time {
	n.mutex.Lock()
	n.isLeaving = true
	n.mutex.Unlock()
	n.write(n.nextRecord())
	return time.Now()
}

// track records the open connections.
func (n *runner) track(conn net.Conn, state http.ConnState) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if state == http.StateNew {
		n.connections[conn] = struct{}{}
	}
	if state == http.StateClosed {
		delete(n.connections, conn)
	}
}

// close ends the runner as a crash does: it resets its connections and writes nothing more.
func (n *runner) close() {
	n.mutex.Lock()
	n.isClosed = true
	for conn := range n.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	n.mutex.Unlock()
	_ = n.server.Close()
}

// ServeHTTP implements http.Handler.
func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get(standin.HeaderCallID)
	if err != nil || id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(standin.HeaderCallID, id)
	if expected := r.Header.Get(standin.HeaderExpectedRunner); expected != "" && expected != n.id {
		w.Header().Set(standin.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.begin(id, r, body)
	w.Header().Set(standin.HeaderSignature, n.id+".signed."+id)
	if r.URL.Path == streamPath {
		n.stream(w, r)
		return
	}
	time.Sleep(n.workTime)
	n.sayIfLeaving(w)
	_, _ = io.WriteString(w, "done "+id)
}

// begin records that a request begins to run.
func (n *runner) begin(id string, r *http.Request, body []byte) {
	n.mutex.Lock()
	n.arrivals = append(n.arrivals, arrival{id: id, at: time.Now()})
	n.mutex.Unlock()
	n.rig.record.add("%s begins to run %s after event %q", n.id, id, r.Header.Get(standin.HeaderLastEvent))
	if n.onRun != nil {
		n.onRun(id, body)
	}
	if string(body) == poison && n.crashAfter > 0 {
		time.AfterFunc(n.crashAfter, n.close)
	}
}

// sayIfLeaving sets the header field of a runner that leaves.
func (n *runner) sayIfLeaving(w http.ResponseWriter) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isLeaving {
		w.Header().Set(standin.HeaderLeaving, "1")
	}
}

const (
	streamPath = "/talk/answer"
	// streamEvents is the number of events of a stream, and eventGap the time between two.
	streamEvents = 20
	eventGap     = 50 * time.Millisecond
)

// stream sends the events of a stream that the caller lacks.
func (n *runner) stream(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	n.sayIfLeaving(w)
	controller := http.NewResponseController(w)
	for number := last + 1; number <= streamEvents; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", number, number); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// runs returns the requests that have run.
func (n *runner) runs() []arrival {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]arrival(nil), n.arrivals...)
}
