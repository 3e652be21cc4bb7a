package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/standin/loopback"
)

const (
	// memoryMB is the memory of an entry VM of the site.
	memoryMB = 284
	// memoryRunners is the number of runners of the models' service.
	memoryRunners = 12
	// memoryTime is how long callers send.
	memoryTime = 90 * time.Second
	// memoryCallers is the number of callers of each daemon.
	memoryCallers = 16
	// restartDelay is how long the platform takes to restart a process that it has killed.
	restartDelay = 500 * time.Millisecond
	// maxEnds is the number of ends of its own that break the rule, on machinesEnded machines.
	maxEnds       = 3
	machinesEnded = 2
)

// playMemory sends two daemons requests whose prompts list many parts, within the limit on headers.
// The platform kills a process over its memory. Without trouble the prompts list few parts.
func playMemory(r *record, folder string, hasTrouble bool) (isBroken bool, err error) {
	scratch, err := os.MkdirTemp("", "review-memory-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	store := standin.NewStore()
	defer store.Close()
	cloud, err := standin.NewCloud()
	if err != nil {
		return false, err
	}
	defer cloud.Close()
	if err := publish(store, folder); err != nil {
		return false, err
	}
	runs := &atomic.Int64{}
	for i := range memoryRunners {
		if err := startStreamRunner(store, fmt.Sprintf("i-%d", i), runs); err != nil {
			return false, err
		}
	}
	daemons, err := startPair(scratch, store, cloud)
	for _, d := range daemons {
		defer d.kill()
	}
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), memoryTime)
	defer cancel()
	var tasks, watches sync.WaitGroup
	ends := make([]int, len(daemons))
	counts := make([]callCounts, len(daemons))
	for i, d := range daemons {
		watches.Go(func() { ends[i] = enforceMemory(ctx, r, d) })
		for n := range memoryCallers {
			tasks.Go(func() { sendPrompts(ctx, d, fmt.Sprintf("%x%02x", i, n), hasTrouble, &counts[i]) })
		}
	}
	watches.Wait()
	cancel()
	tasks.Wait()
	exceeded := 0
	for i, d := range daemons {
		r.add("%s: %d requests sent, %d answered whole, killed over its memory %d times", d.name,
			counts[i].sent.Load(), counts[i].answered.Load(), ends[i])
		if ends[i] >= maxEnds {
			exceeded++
		}
	}
	r.add("runners ran %d requests", runs.Load())
	return exceeded >= machinesEnded, nil
}

// publish writes the configuration of a case.
func publish(store *standin.Store, folder string) error {
	content, err := os.ReadFile(filepath.Join(folder, "config.json"))
	if err != nil {
		return err
	}
	return store.PutJSON(standin.TopicConfiguration, "config", json.RawMessage(content))
}

// startPair starts two daemons in two zones.
func startPair(folder string, store *standin.Store, cloud *standin.Cloud) ([]*daemon, error) {
	var daemons []*daemon
	seed := ""
	for i := range machinesEnded {
		name := fmt.Sprintf("edge-%d", i+1)
		address, err := store.Listen(name)
		if err != nil {
			return daemons, err
		}
		d, err := newDaemon(folder, daemonSettings{
			name: name, zone: fmt.Sprintf("mnc-%d", i+1), store: address, cloud: cloud.Address(), memoryMB: memoryMB,
		}, seed)
		if err != nil {
			return daemons, err
		}
		seed = d.peers
		if err := d.start(); err != nil {
			return daemons, err
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if err := d.awaitReady(); err != nil {
			return daemons, err
		}
	}
	return daemons, nil
}

// enforceMemory kills the process of a daemon whenever it exceeds its memory, as the platform does, and
// restarts it, until it has done so maxEnds times. It returns how often.
func enforceMemory(ctx context.Context, r *record, d *daemon) int {
	kills := 0
	for next := time.Now(); ctx.Err() == nil && kills < maxEnds; time.Sleep(20 * time.Millisecond) {
		resident := d.residentMB()
		if time.Now().After(next) {
			r.add("%s: %.0f MB", d.name, resident)
			next = time.Now().Add(5 * time.Second)
		}
		if resident <= memoryMB {
			continue
		}
		kills++
		r.add("%s exceeds its %d MB with %.0f MB and is killed", d.name, memoryMB, resident)
		d.kill()
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			r.add("%s could not be restarted: %v", d.name, err)
			return kills
		}
	}
	return kills
}

// callCounts counts requests.
type callCounts struct{ sent, answered atomic.Int64 }

const (
	promptHost = "desk.example"
	promptPath = "/notes/lesson"
	promptKey  = "key-1"
	manyParts  = 220
	fewParts   = 3
	// sharedParts has an ID as long as a SHA-256 hash.
	sharedParts = "%s%061x:%d,"
	// tokensPerPart is the number of tokens of a shared part.
	tokensPerPart = 25
)

// sendPrompts sends requests one after the other. Each prompt has shared parts and a last one of its
// own.
func sendPrompts(ctx context.Context, d *daemon, caller string, hasMany bool, counts *callCounts) {
	parts := fewParts
	if hasMany {
		parts = manyParts
	}
	var shared strings.Builder
	for part := range parts {
		fmt.Fprintf(&shared, sharedParts, caller, part, tokensPerPart)
	}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	for n := 0; ctx.Err() == nil; n++ {
		counts.sent.Add(1)
		p := prompt{id: fmt.Sprintf("%s%08x", caller, n), shared: shared.String(), sharedTokens: parts * tokensPerPart}
		if sendPrompt(ctx, &client, d, p) {
			counts.answered.Add(1)
			continue
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// prompt is a prompt of a request, whose last part has the ID of the request.
type prompt struct {
	id, shared   string
	sharedTokens int
}

const (
	// lastTokens is the number of tokens of the last part, and answerTokens that of the answer.
	lastTokens   = 60
	answerTokens = 5
)

// sendPrompt reports whether the answer is whole.
func sendPrompt(ctx context.Context, client *http.Client, d *daemon, p prompt) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+promptPath, strings.NewReader("question"))
	if err != nil {
		return false
	}
	request.Host = promptHost
	request.Header.Set(standin.HeaderCallID, fmt.Sprintf("%s%d", p.id, time.Now().UnixNano()))
	request.Header.Set(standin.HeaderAPIKey, promptKey)
	request.Header.Set(standin.HeaderDeadline, "5000")
	request.Header.Set(standin.HeaderTokenCount, fmt.Sprintf("%d,%d", p.sharedTokens+lastTokens, answerTokens))
	request.Header.Set(standin.HeaderPrompt, fmt.Sprintf("%s%s:%d", p.shared, p.id, lastTokens))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.HasPrefix(string(body), "id: 1\n")
}

const streamBody = "id: 1\ndata: note\n\n"

// startStreamRunner starts a runner that answers each request with a stream of one event, and writes its
// record.
func startStreamRunner(store *standin.Store, id string, runs *atomic.Int64) error {
	listener, err := loopback.Listen()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(standin.HeaderCallID, request.Header.Get(standin.HeaderCallID))
		if request.Header.Get(standin.HeaderExpectedRunner) != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		runs.Add(1)
		w.Header().Set(standin.HeaderSignature, id+".signed")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, streamBody)
	})}
	go func() { _ = server.Serve(listener) }()
	return store.PutRunner(standin.RunnerRecord{
		ID: id, Service: "lesson-models", Address: listener.Addr().String(), Zone: "mnc-1", StartedAt: time.Now(),
	})
}
