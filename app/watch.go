package app

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// settingsPeriod is the time between two looks at the settings file, which may
// also change without a signal.
const settingsPeriod = 5 * time.Second

// watchSettings hands on the settings when the file has changed, until ctx ends.
// A file that can't be used changes nothing.
func watchSettings(ctx context.Context, common telemetry.Common, path string, reload func(platform.Settings)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	last, err := os.ReadFile(path)
	if err != nil {
		common.Log.Error(err, "The settings can't be watched")
	}
	ticker := common.Clock.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.Chan():
		}
		content, err := os.ReadFile(path)
		if err != nil || bytes.Equal(content, last) {
			continue
		}
		last = content
		settings, err := platform.ParseSettings(path, content)
		if err != nil {
			common.Log.Error(err, "Changed settings were passed over")
			continue
		}
		reload(settings)
	}
}
