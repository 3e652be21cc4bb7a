package entry

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// takeConfiguration puts a newer configuration in force.
func (e *Entry) takeConfiguration(batch feed.Batch) {
	for _, record := range batch.Records {
		if platform.IsConfiguration(record) {
			e.apply(record)
		}
	}
}

func (e *Entry) apply(record latest.Record) {
	next, err := platform.DecodeConfiguration(record)
	if err != nil {
		e.Count("Configuration.Unreadable", 1)
		e.Log.Error(err, "ConfigurationUnreadable", "Offset", record.Offset)
		return
	}
	held := e.gateway.Catalog()
	if held != nil && next.Version() <= held.Version() {
		return
	}
	e.gateway.SetCatalog(next)
	e.quotas.SetCustomers(next.Customers(), e.Clock.Now())
	e.fleet.refresh()
	e.begin()
	e.metrics.Version(next.Version())
	e.Log.Info("ConfigurationTaken", "Version", next.Version(), "Offset", record.Offset)
}

// begin lets callers' requests in as soon as the configuration and the runners are
// known.
func (e *Entry) begin() {
	if e.gateway.Catalog() != nil && e.fleet.known() {
		e.gateway.Begin()
	}
}

// takeMembers makes the daemons known that the store names.
func (e *Entry) takeMembers(batch feed.Batch) {
	for _, record := range batch.Records {
		if record.Dropped() {
			continue
		}
		var member membership.Member
		if err := msgpack.Unmarshal(record.Value, &member); err != nil {
			e.Log.Error(err, "DaemonRecordUnreadable", "Daemon", record.Key)
			continue
		}
		e.group.Add(member)
	}
}
