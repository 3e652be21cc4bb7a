package logsink_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/cranberrywalk/cranberrywalk/logsink"
)

// Guards against the loss of the lines of one reserved event for those of another one.
func TestReservedEventsDoNotDisplaceEachOther(t *testing.T) {
	options := logsink.Options{Capacity: 1000, MaxDebugLines: 5, MaxInfoLines: 5, MaxReservedLines: 30}.WithReservedEvents("Refusal", "Mismatch")
	lines := written(qt.New(t), options, func(log logr.Logger) {
		for range 40 {
			log.Info("Mismatch")
		}
		log.Info("Refusal")
	})
	counts := map[any]int{}
	for _, line := range lines {
		counts[line["Event"]]++
	}
	qt.Check(t, counts["Refusal"], qt.Equals, 1)
}

// Guards against the loss of reserved lines for lines of a level without a limit.
func TestErrorsDoNotDisplaceReservedLines(t *testing.T) {
	options := logsink.Options{Capacity: 100, MaxDebugLines: 5, MaxInfoLines: 5, MaxReservedLines: 30}.WithReservedEvents("Refusal")
	lines := written(qt.New(t), options, func(log logr.Logger) {
		for range 200 {
			log.Error(nil, "Failure")
		}
		log.Info("Refusal")
	})
	counts := map[any]int{}
	for _, line := range lines {
		counts[line["Event"]]++
	}
	qt.Check(t, counts["Refusal"], qt.Equals, 1)
}
