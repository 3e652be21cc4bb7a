package ring_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/ring"
)

func TestPutRefusesValueWhenFull(t *testing.T) {
	c := qt.New(t)
	r := ring.New[int]("Claims", 2)
	c.Assert(r.Put(1), qt.IsNil)
	c.Assert(r.Put(2), qt.IsNil)

	err := r.Put(3)

	var full *ring.FullError
	c.Assert(errors.As(err, &full), qt.IsTrue)
	c.Assert(full.Name, qt.Equals, "Claims")
	c.Assert(r.Drain(10), qt.DeepEquals, []int{1, 2})
	c.Assert(r.Len(), qt.Equals, 0)
}
