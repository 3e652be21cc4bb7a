package main

import (
	"context"
	stderrors "errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

const headerTimeout = 10 * time.Second

// CrashedError reports that an injected crash has ended the command.
type CrashedError struct {
	Command string
}

// Error implements error.
func (e *CrashedError) Error() string { return e.Command + " has crashed" }

func exitCode(err error) int {
	var crashed *CrashedError
	if stderrors.As(err, &crashed) {
		return exitCrashed
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand in for an outside system",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().String("address", "127.0.0.1:0", "host:port to listen on")
	root.AddCommand(newPlatform(), newLog(), newEngine(), newService())
	return root
}

// serve serves HTTP until the command's context is done or crashed is closed. It
// prints a line with the address as soon as it listens.
func serve(command *cobra.Command, handler http.Handler, crashed <-chan struct{}) error {
	address, err := command.Flags().GetString("address")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	fmt.Fprintln(command.OutOrStdout(), "ready", listener.Addr())
	return waitForEnd(command.Context(), server, failed, crashed, command.Name())
}

// waitForEnd waits until the server fails, crashes or is stopped, and then closes it
// with all of its connections.
func waitForEnd(ctx context.Context, server *http.Server, failed <-chan error, crashed <-chan struct{}, name string) error {
	defer server.Close()
	select {
	case err := <-failed:
		return err
	case <-crashed:
		return &CrashedError{Command: name}
	case <-ctx.Done():
		return nil
	}
}
