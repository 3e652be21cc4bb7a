package app

import (
	"context"
	"io"
	"os"
	"runtime/debug"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/entry"
	"github.com/cranberrywalk/cranberrywalk/gateway"
	"github.com/cranberrywalk/cranberrywalk/logsink"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// serveOnPlatform runs the daemon with the platform's settings file. The log sink is
// stopped last, so that it writes all log lines of the daemon.
func serveOnPlatform(ctx context.Context, path string, hangups <-chan os.Signal, output io.Writer) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return &InputError{Cause: err}
	}
	common := telemetry.NewCommon()
	options := logsink.DefaultOptions().WithReservedEvents(gateway.EventRefusedAfterAttempts, gateway.EventMismatchedAnswer)
	sink := logsink.New(options, common.Clock, output)
	common.Log = logr.FromSlogHandler(sink.Handler())
	klog.SetLogger(common.Log)
	sinkCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	go sink.Run(sinkCtx)
	limitMemory(common, settings.MemoryBytes)
	daemon := entry.New(common, settings)
	go watchSettings(sinkCtx, common, path, hangups, daemon.Reload)
	err = daemon.Run(ctx)
	stop()
	<-sink.Done()
	return err
}

// limitMemory sets the Go runtime's memory limit from the memory of the process; zero means unknown.
func limitMemory(common telemetry.Common, memoryBytes int) {
	limit := buffer.RuntimeLimitFor(memoryBytes)
	if limit <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(limit))
	common.Log.Info("MemoryLimited", "MemoryBytes", memoryBytes, "RuntimeLimitBytes", limit)
}
