package hostinghttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Log is a client of the log service.
type Log struct {
	client client
}

var _ hosting.Log = (*Log)(nil)

// NewLog returns a client of the log service at the base URL.
func NewLog(base string, httpClient *http.Client) *Log {
	return &Log{client: newClient("log", base, httpClient)}
}

// WithTimeout returns a client whose requests take at most timeout, beyond the
// time that a long poll waits.
func (l *Log) WithTimeout(timeout time.Duration) *Log {
	return &Log{client: l.client.withTimeout(timeout)}
}

// Append implements hosting.Log.
func (l *Log) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	response, err := l.client.post(ctx, streamPath(stream), AppendRequest{Payloads: payloads})
	if err != nil {
		return 0, err
	}
	appended, err := decode[AppendResponse](l.client, response)
	return appended.Offset, err
}

// Read implements hosting.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (hosting.Batch, error) {
	query := url.Values{}
	query.Set("From", strconv.FormatUint(from, 10))
	query.Set("Limit", strconv.Itoa(limit))
	query.Set("Wait", wait.String())
	response, err := l.client.get(ctx, streamPath(stream)+"?"+query.Encode(), wait)
	if err != nil {
		return hosting.Batch{}, err
	}
	if response.status == http.StatusGone {
		return hosting.Batch{}, l.trimmedError(stream, from, response)
	}
	return decode[hosting.Batch](l.client, response)
}

func (l *Log) trimmedError(stream string, from uint64, response reply) error {
	var trimmed TrimmedResponse
	if err := json.Unmarshal(response.body, &trimmed); err != nil {
		return l.client.unavailable(err)
	}
	return &hosting.TrimmedError{Stream: stream, From: from, First: trimmed.First}
}

func streamPath(stream string) string {
	return "/streams/" + url.PathEscape(stream) + "/records"
}
