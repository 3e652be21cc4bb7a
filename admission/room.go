package admission

import "time"

// Room is what a daemon believes of the runners of a service, over all daemons.
type Room struct {
	// Running counts the requests that occupy slots, and Waiting those beyond the slots of their runners.
	Running, Waiting float64
	// Slots is the number of requests that the runners run at a time. Zero means that it is not known.
	Slots float64
	// Capacity is the number of requests that the runners carry as well as typical runners carry their
	// slots. It equals Slots while the speed of the runners is not known.
	Capacity float64
	// Arrived and Started count the requests that have arrived for the service and those that were sent
	// to its runners. They never decrease; only their differences matter.
	Arrived, Started uint64
	// Generation changes whenever the figures begin or cease to include those of a daemon: its requests
	// have neither started nor ended then.
	Generation uint64
	// Age is the age of the figures of other daemons.
	Age time.Duration
}

// inFlight returns the number of requests at the runners.
func (r Room) inFlight() float64 { return r.Running + r.Waiting }

// calmOccupancy is the fraction of the slots that has to be occupied, if nothing waits, for a refusal to
// be right.
const calmOccupancy = 0.5

// isCalm reports whether a refusal for lack of capacity would be wrong.
func (r Room) isCalm() bool { return r.Waiting <= 0 && r.Running < calmOccupancy*r.Slots }

// occupiedCapacity returns what the occupied slots are worth in Capacity.
func (r Room) occupiedCapacity() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return min(r.Running, r.Slots) * r.Capacity / r.Slots
}
