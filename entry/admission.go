package entry

import "github.com/cranberrywalk/cranberrywalk/admission"

// addAdmissionGauges registers the gauges of what admission believes of each service.
func (e *Entry) addAdmissionGauges() {
	gauge := func(name, help string, value func(admission.State) float64) {
		e.metrics.RegisterServiceGauge(name, help, func(yield func(string, float64)) {
			current := e.gateway.Catalog()
			if current == nil {
				return
			}
			for _, service := range current.Services() {
				if state, found := e.gateway.AdmissionState(service.Name); found {
					yield(service.Name, value(state))
				}
			}
		})
	}
	gauge("admitted_share", "Fraction of the requests of the service that is admitted.", func(s admission.State) float64 { return s.Share })
	gauge("demand_ratio", "Ratio of the requests that arrive to those that the runners can answer.", admission.State.Ratio)
	gauge("slot_wait_seconds", "Estimated wait for a slot.", func(s admission.State) float64 { return s.Wait.Seconds() })
}
