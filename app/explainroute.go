package app

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrywalk/cranberrywalk/explain"
)

// explainRouteTimeout bounds the request to the daemon.
const explainRouteTimeout = 5 * time.Second

// routeQuestion is what explain-route asks.
type routeQuestion struct {
	daemon, host, target, customer string
	headers                        []string
}

func newExplainRoute() *cobra.Command {
	var question routeQuestion
	var asJSON bool
	command := &cobra.Command{
		Use:   "explain-route --daemon HOST:PORT --host HOST --target PATH",
		Short: "Ask a running daemon where a request would go now, and why, without sending it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			content, err := question.ask(cmd.Context())
			if err != nil {
				return err
			}
			if asJSON {
				_, err := cmd.OutOrStdout().Write(content)
				return err
			}
			var route explain.Route
			if err := json.Unmarshal(content, &route); err != nil {
				return &DaemonError{Daemon: question.daemon, Answer: string(content)}
			}
			return explain.PrintRoute(cmd.OutOrStdout(), route)
		},
	}
	flags := command.Flags()
	flags.StringVar(&question.daemon, "daemon", "", "address of the daemon's metrics port")
	flags.StringVar(&question.host, "host", "", "host of the request")
	flags.StringVar(&question.target, "target", "/", "path of the request, with its query")
	flags.StringVar(&question.customer, "customer", "", "customer, in place of an API key in the header")
	flags.StringArrayVarP(&question.headers, "header", "H", nil, "header field of the request, as 'Name: value'; may be repeated")
	flags.BoolVar(&asJSON, "json", false, "print JSON instead of text")
	// The calls fail only for undeclared flags.
	_ = command.MarkFlagRequired("daemon")
	_ = command.MarkFlagRequired("host")
	return command
}

// ask returns the daemon's answer.
func (q routeQuestion) ask(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainRouteTimeout)
	defer cancel()
	parameters := url.Values{explain.HostParameter: {q.host}, explain.TargetParameter: {q.target}, explain.CustomerParameter: {q.customer}}
	address := url.URL{Scheme: "http", Host: q.daemon, Path: explain.RoutePath, RawQuery: parameters.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return nil, &InputError{Cause: err}
	}
	for _, field := range q.headers {
		name, value, found := strings.Cut(field, ":")
		if !found {
			return nil, &InputError{Cause: &HeaderFieldError{Field: field}}
		}
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		return nil, &DaemonError{Daemon: q.daemon, Answer: string(content)}
	}
	return content, nil
}

// DaemonError reports an answer of a daemon that can't be used.
type DaemonError struct{ Daemon, Answer string }

// Error implements error.
func (e *DaemonError) Error() string { return "daemon " + e.Daemon + " has answered: " + e.Answer }

// HeaderFieldError reports a header field without a colon.
type HeaderFieldError struct{ Field string }

// Error implements error.
func (e *HeaderFieldError) Error() string { return "header field " + e.Field + " has no colon" }
