package standin

// CountedFault is a fault that applies to a limited number of requests.
type CountedFault[K ~string] struct {
	// Fault is the kind of the fault; empty means none.
	Fault K
	// Count is the number of following requests that the fault applies to; 0
	// stands for all of them.
	Count int
}

// Take returns the fault for one request and decrements Count. The fault ends
// when Count reaches 0.
func (c *CountedFault[K]) Take() K {
	fault := c.Fault
	if c.Count > 0 {
		c.Count--
		if c.Count == 0 {
			c.Fault = ""
		}
	}
	return fault
}
