package entry

import (
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
	"github.com/cranberrywalk/cranberrywalk/versionlog"
)

// versionOptions returns the options of the log of streams' versions.
func versionOptions(settings platform.Settings, self membership.Member) versionlog.Options {
	watch := streamversion.DefaultWatchOptions()
	watch.IsFirstStart = settings.IsFirstStart
	options := versionlog.DefaultOptions(instanceID(self), watch)
	options.WritesPerSecond = settings.StoreWritesPerSecond
	return options
}
