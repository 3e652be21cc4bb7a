package standin

// Counted is a fault that hits a number of requests.
type Counted[K ~string] struct {
	// Fault is what goes wrong; empty means nothing.
	Fault K
	// Count is the number of following requests that the fault hits; 0
	// stands for all of them.
	Count int
}

// Take returns the fault for one request, and uses up one of the count.
func (c *Counted[K]) Take() K {
	fault := c.Fault
	if c.Count > 0 {
		c.Count--
		if c.Count == 0 {
			c.Fault = ""
		}
	}
	return fault
}
