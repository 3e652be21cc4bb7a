package entry

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// applyConfigurations applies the configurations of a batch that are newer than the
// current one.
func (e *Entry) applyConfigurations(batch feed.Batch) {
	for _, record := range batch.Records {
		if platform.IsConfiguration(record) {
			e.applyConfiguration(record)
		}
	}
}

func (e *Entry) applyConfiguration(record latest.Record) {
	next, err := platform.DecodeConfiguration(record)
	if err != nil {
		e.Count("Configuration.Unreadable", 1)
		e.Log.Error(err, "ConfigurationUnreadable", "Offset", record.Offset)
		return
	}
	current := e.gateway.Catalog()
	if current != nil && next.Version() <= current.Version() {
		return
	}
	e.gateway.SetCatalog(next)
	e.quotas.SetCustomers(next.Customers(), e.Clock.Now())
	e.runners.updateBalancer()
	e.markGatewayReady()
	e.metrics.SetVersion(next.Version())
	e.Log.Info("ConfigurationTaken", "Version", next.Version(), "Offset", record.Offset)
}

// markGatewayReady marks the gateway as ready once the configuration and the runners
// are known.
func (e *Entry) markGatewayReady() {
	if e.gateway.Catalog() != nil && e.runners.isLoaded() {
		e.gateway.MarkReady()
	}
}

// addMembers adds the daemons that the store lists to the group.
func (e *Entry) addMembers(batch feed.Batch) {
	for _, record := range batch.Records {
		if record.IsTombstone() {
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
