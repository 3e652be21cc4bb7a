package hostinghttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Engine is a client of the control interface of one model engine.
type Engine struct {
	client client
}

var _ hosting.Engine = (*Engine)(nil)

// NewEngine returns a client of the engine at the base URL.
func NewEngine(base string, httpClient *http.Client) *Engine {
	return &Engine{client: newClient("engine", base, httpClient)}
}

// WithTimeout returns a client whose requests take at most timeout, beyond the
// time that a long poll waits.
func (e *Engine) WithTimeout(timeout time.Duration) *Engine {
	return &Engine{client: e.client.withTimeout(timeout)}
}

// Load implements hosting.Engine.
func (e *Engine) Load(ctx context.Context) (hosting.LoadReport, error) {
	response, err := e.client.get(ctx, "/engine/load", 0)
	if err != nil {
		return hosting.LoadReport{}, err
	}
	return decode[hosting.LoadReport](e.client, response)
}

// CacheEvents implements hosting.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]hosting.CacheEvent, error) {
	response, err := e.client.get(ctx, "/engine/cache-events?After="+strconv.FormatUint(after, 10), 0)
	if err != nil {
		return nil, err
	}
	events, err := decode[CacheEventsResponse](e.client, response)
	return events.Events, err
}

// Order implements hosting.Engine.
func (e *Engine) Order(ctx context.Context, order hosting.Order) error {
	response, err := e.client.post(ctx, "/engine/orders", order)
	if err != nil {
		return err
	}
	if response.status == http.StatusConflict {
		return e.fencedError(order, response)
	}
	_, err = decode[struct{}](e.client, response)
	return err
}

func (e *Engine) fencedError(order hosting.Order, response reply) error {
	var fenced FencedResponse
	if err := json.Unmarshal(response.body, &fenced); err != nil {
		return e.client.unavailable(err)
	}
	return &hosting.FencedError{Fencing: order.Fencing, Seen: fenced.Seen}
}

// ExportKV implements hosting.Engine.
func (e *Engine) ExportKV(ctx context.Context, requestID string) (hosting.KVCache, error) {
	response, err := e.client.post(ctx, "/engine/kv/export", ExportRequest{RequestID: requestID})
	if err != nil {
		return hosting.KVCache{}, err
	}
	return decode[hosting.KVCache](e.client, response)
}

// ImportKV implements hosting.Engine.
func (e *Engine) ImportKV(ctx context.Context, cache hosting.KVCache) error {
	response, err := e.client.post(ctx, "/engine/kv/import", cache)
	if err != nil {
		return err
	}
	_, err = decode[struct{}](e.client, response)
	return err
}
