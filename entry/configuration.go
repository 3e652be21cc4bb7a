package entry

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/packed"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// applyConfigurations applies the configurations of a batch that are newer than the
// current one. Orders for roll-outs come first, since requests are served once a configuration is
// known.
func (e *Entry) applyConfigurations(batch feed.Batch) {
	e.rollouts.applyBatch(batch)
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
	e.configuring.Lock()
	defer e.configuring.Unlock()
	if next.Version() <= e.configurationVersion() {
		return
	}
	e.configurationRecord.Store(&record)
	e.gateway.SetCatalog(next)
	e.quotas.SetCustomers(next.Customers(), e.Clock.Now())
	e.runners.updateBalancer()
	e.markGatewayReady()
	e.metrics.SetVersion(next.Version())
	e.Log.Info("ConfigurationTaken", "Version", next.Version(), "Offset", record.Offset)
}

// markGatewayReady marks the gateway as ready once the configuration, the runners and the states of
// roll-outs are known.
func (e *Entry) markGatewayReady() {
	if e.gateway.Catalog() != nil && e.runners.isLoaded() && e.rollouts.mayServe() {
		e.gateway.MarkReady()
	}
}

// configurationVersion returns the version of the configuration in force, or zero.
func (e *Entry) configurationVersion() uint64 {
	current := e.gateway.Catalog()
	if current == nil {
		return 0
	}
	return current.Version()
}

// noticeConfiguration has the configuration in force at another daemon fetched if it is
// newer although both have read the same records. That is so after the store was
// restored from a copy without the newest configuration.
func (e *Entry) noticeConfiguration(from membership.Member, version uint64, end latest.Position) {
	if version <= e.configurationVersion() || end != e.feedsByTopic[platform.ConfigurationTopic].End() {
		return
	}
	select {
	case e.newerConfigurations <- from:
	default:
		// Another daemon is asked already.
	}
}

// fetchConfigurations fetches newer configurations from other daemons until ctx ends.
func (e *Entry) fetchConfigurations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-e.newerConfigurations:
			record, err := e.group.Configuration(ctx, from)
			if err != nil {
				e.Count("Configuration.FetchesFailed", 1)
				e.Log.Info("ConfigurationNotFetched", "Daemon", from.Name, "Error", err.Error())
				continue
			}
			if platform.IsConfiguration(record) {
				e.applyConfiguration(record)
			}
		}
	}
}

// addMembers adds the daemons that the store lists to the group. If the store has lost
// this daemon's own record, it is written again.
func (e *Entry) addMembers(batch feed.Batch) {
	e.checkOwnRecord()
	for _, record := range batch.Records {
		if record.IsTombstone() {
			continue
		}
		member, err := decodeMember(record)
		if err != nil {
			e.Log.Error(err, "DaemonRecordUnreadable", "Daemon", record.Key)
			continue
		}
		e.group.Add(member)
	}
	e.quotas.SetGroupSize(e.group.Size())
}

func decodeMember(record latest.Record) (membership.Member, error) {
	var member membership.Member
	err := packed.Unmarshal(record.Value, &member)
	return member, err
}

// checkOwnRecord makes the daemon write its own record again if the store was restored
// since and does not hold it.
func (e *Entry) checkOwnRecord() {
	f := e.feedsByTopic[membersTopic]
	epoch, written := e.announcedEpoch()
	if !written || f.End().Epoch <= epoch {
		return
	}
	e.setAnnouncedEpoch(f.End().Epoch)
	for _, record := range f.Extract(latest.Position{}).Records {
		member, err := decodeMember(record)
		if err == nil && member == e.self {
			return
		}
	}
	e.Log.Info("OwnRecordLost", "Daemon", e.self.Name, "Epoch", f.End().Epoch)
	select {
	case e.announcement <- struct{}{}:
	default:
	}
}

// setAnnouncedEpoch records the epoch in which the store is known to hold the daemon's
// own record, or in which it is being written.
func (e *Entry) setAnnouncedEpoch(epoch uint64) { e.announced.Store(&epoch) }

// announcedEpoch returns the epoch that was last set, and false before the first one.
func (e *Entry) announcedEpoch() (epoch uint64, written bool) {
	announced := e.announced.Load()
	if announced == nil {
		return 0, false
	}
	return *announced, true
}
