package app

import (
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/configuration"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/logstream"
	"github.com/cranberrywalk/cranberrywalk/settings"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// newPublisher returns a publisher to the log service that s configures, and a
// function that closes the publisher.
func newPublisher(s settings.Settings) (*configuration.Publisher, func()) {
	log := hostinghttp.NewLog(s.Platform.Log, http.DefaultClient)
	appender := logstream.NewPublisher(telemetry.NewCommon(), log, s.Platform.Timeout)
	publisher := configuration.NewPublisher(log, appender, s.Platform.ConfigurationStream)
	// Close of the appender never fails.
	return publisher, func() { _ = appender.Close() }
}
