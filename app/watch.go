package app

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// settingsPollInterval is the interval of polling the settings file, which may also
// change without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings calls reload with the new settings whenever the file has changed,
// until ctx is done. It checks the file periodically and on each hangup signal. An
// unreadable or invalid file is ignored.
func watchSettings(ctx context.Context, common telemetry.Common, path string, hangups <-chan os.Signal, reload func(platform.Settings)) {
	last, err := os.ReadFile(path)
	if err != nil {
		common.Log.Error(err, "Reading the settings file failed; it is read again at the next check")
	}
	ticker := common.Clock.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.Chan():
		}
		content, err := os.ReadFile(path)
		if err != nil || bytes.Equal(content, last) {
			continue
		}
		last = content
		settings, err := platform.ParseSettings(path, content)
		if err != nil {
			common.Log.Error(err, "The changed settings file is invalid; the previous settings stay in force")
			continue
		}
		reload(settings)
	}
}
