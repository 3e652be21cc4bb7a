package daemon

import (
	"context"
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
)

// cacheMover implements dispatch.CacheMover with the control API of the engines.
type cacheMover struct {
	client *http.Client
}

// MoveCache implements dispatch.CacheMover.
func (m cacheMover) MoveCache(ctx context.Context, requestID string, from, to dispatch.Target) error {
	cache, err := hostinghttp.NewEngine("http://"+from.Address, m.client).ExportKV(ctx, requestID)
	if err != nil {
		return err
	}
	return hostinghttp.NewEngine("http://"+to.Address, m.client).ImportKV(ctx, cache)
}
