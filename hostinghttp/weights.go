package hostinghttp

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// WeightStore is a client of the weight store.
type WeightStore struct {
	client client
}

var _ hosting.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a client of the weight store at the base URL.
func NewWeightStore(base string, httpClient *http.Client) *WeightStore {
	return &WeightStore{client: newClient("weight store", base, httpClient)}
}

// WithTimeout returns a client whose requests take at most timeout, beyond the
// time that a long poll waits.
func (s *WeightStore) WithTimeout(timeout time.Duration) *WeightStore {
	return &WeightStore{client: s.client.withTimeout(timeout)}
}

// Size implements hosting.WeightStore.
func (s *WeightStore) Size(ctx context.Context, model string) (int64, error) {
	response, err := s.client.get(ctx, "/weights/"+url.PathEscape(model), 0)
	if err != nil {
		return 0, err
	}
	size, err := decode[SizeResponse](s.client, response)
	return size.Bytes, err
}

// Reserve implements hosting.WeightStore.
func (s *WeightStore) Reserve(ctx context.Context, bytes int64) (time.Duration, error) {
	response, err := s.client.post(ctx, "/weights/reserve", ReserveRequest{Bytes: bytes})
	if err != nil {
		return 0, err
	}
	reserved, err := decode[ReserveResponse](s.client, response)
	if err != nil {
		return 0, err
	}
	wait, err := time.ParseDuration(reserved.Wait)
	if err != nil {
		return 0, s.client.indeterminate(response, err)
	}
	return wait, nil
}
