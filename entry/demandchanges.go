package entry

import (
	"maps"
	"time"

	"github.com/cranberrywalk/cranberrywalk/scaling"
)

// logExtra logs when demand begins or ceases to count beside the requests in flight.
func (m *demandMonitor) logExtra(service string, before, after scaling.Extra) {
	switch {
	case before.Refused <= 0 && after.Refused > 0:
		m.Log.Info("RefusedDemandCounts", "Service", service, "Load", after.Refused)
	case before.Refused > 0 && after.Refused <= 0:
		m.Log.Info("RefusedDemandEnded", "Service", service)
	}
	switch {
	case before.Load <= 0 && after.Load > 0:
		m.Log.Info("LongerWorkCounts", "Service", service, "WorkRatio", after.WorkRatio, "Load", after.Load)
	case before.Load > 0 && after.Load <= 0:
		m.Log.Info("LongerWorkEnded", "Service", service)
	}
}

// extras returns what counts beside the requests in flight, by service.
func (m *demandMonitor) extras() map[string]scaling.Extra {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	extras := make(map[string]scaling.Extra, len(m.trackers))
	for service, tracker := range m.trackers {
		extras[service] = tracker.Extra()
	}
	return extras
}

// addDemandGauges registers the gauges of what counts beside the requests in flight.
func (m *demandMonitor) addDemandGauges() {
	gauge := func(name, help string, value func(scaling.Extra) float64) {
		m.metrics.RegisterServiceGauge(name, help, func(yield func(string, float64)) {
			for service, extra := range m.extras() {
				yield(service, value(extra))
			}
		})
	}
	gauge("refused_load", "Refused demand that runners are ordered for, in requests in flight.", func(e scaling.Extra) float64 { return e.Refused })
	m.metrics.RegisterServiceGauge("largest_zone_share", "Largest fraction of the demand in one zone while it is uneven.", func(yield func(string, float64)) {
		for service, share := range m.largestShares() {
			yield(service, share)
		}
	})
	gauge("work_ratio", "Ratio of the work of a request to the usual one while runners are ordered for it.", func(e scaling.Extra) float64 { return e.WorkRatio })
}

// observeZones updates the division of the demand of a service over zones. It is called with the mutex held.
func (m *demandMonitor) observeZones(service string, zones []scaling.ZoneDemand, now time.Time) {
	shares := m.shares[service]
	if shares == nil {
		shares = scaling.NewZoneShares(scaling.DefaultZoneOptions())
		m.shares[service] = shares
	}
	before := shares.Shares()
	shares.Observe(zones, now)
	if after := shares.Shares(); !maps.Equal(before, after) {
		m.Log.Info("ZoneDemandChanged", "Service", service, "Shares", after, "Before", before)
	}
}

// zoneShares returns the fraction of the demand of a service in each zone, or nil while it is even or not known.
func (m *demandMonitor) zoneShares(service string) map[string]float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if shares := m.shares[service]; shares != nil {
		return shares.Shares()
	}
	return nil
}

// largestShares returns the largest share of a zone in the demand of each service, or zero while it is even.
func (m *demandMonitor) largestShares() map[string]float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	largest := make(map[string]float64, len(m.shares))
	for service, shares := range m.shares {
		largest[service] = 0
		for _, share := range shares.Shares() {
			largest[service] = max(largest[service], share)
		}
	}
	return largest
}
