package buffer_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/buffer"
)

func newBodies() *buffer.Bodies {
	return buffer.NewBodies(buffer.BodyOptions{LimitBytes: limitBytes, FreeBytes: freeBytes})
}

func TestBodyThatDoesNotFitKeepsWhatItHas(t *testing.T) {
	c := qt.New(t)
	bodies := newBodies()
	taken, grown := bodies.Open("one"), bodies.Open("two")
	c.Assert(taken.Resize(40), qt.IsNil)
	c.Assert(grown.Resize(20), qt.IsNil)
	var noRoom *buffer.NoRoomError
	c.Assert(errors.As(grown.Resize(31), &noRoom), qt.IsTrue)
	c.Check(*noRoom, qt.Equals, buffer.NoRoomError{
		Owner: "two", Bytes: 31, OwnerBytes: 20, AllowedBytes: 30, HeldBytes: 60, LimitBytes: limitBytes, FitsLater: true,
	})
	c.Check(bodies.HeldBytes(), qt.Equals, 60)
	taken.Close()
	taken.Close()
	c.Check(grown.Resize(31), qt.IsNil)
	c.Check(bodies.HeldBytes(), qt.Equals, 31)
}

// TestOwnerLeavesRoomForOthers guards against a customer whose long bodies make those of all others
// fail.
func TestOwnerLeavesRoomForOthers(t *testing.T) {
	c := qt.New(t)
	bodies := newBodies()
	for range 2 {
		c.Assert(bodies.Open("one").Resize(25), qt.IsNil)
	}
	c.Check(bodies.Open("one").Resize(freeBytes+1), qt.IsNotNil)
	c.Check(bodies.Open("two").Resize(25), qt.IsNil)
	c.Check(bodies.Open("three").Resize(12), qt.IsNil)
	// What one holds already is not taken from it.
	c.Check(bodies.HeldBytes(), qt.Equals, 87)
}

// TestShortBodiesAreNotRefused guards against short requests that fail beside long ones.
func TestShortBodiesAreNotRefused(t *testing.T) {
	c := qt.New(t)
	bodies := newBodies()
	c.Assert(bodies.Open("long").Resize(limitBytes/2), qt.IsNil)
	c.Check(bodies.Open("long").Resize(freeBytes), qt.IsNil)
}

func TestNilBodiesHaveNoLimit(t *testing.T) {
	c := qt.New(t)
	var bodies *buffer.Bodies
	body := bodies.Open("any")
	c.Check(body.Resize(1<<40), qt.IsNil)
	body.Close()
	c.Check(bodies.HeldBytes(), qt.Equals, 0)
}

// modelBody is what a test expects of a body.
type modelBody struct {
	body  *buffer.Body
	owner string
	bytes int
}

// TestBodiesForAnySequence checks after any sequence of calls that the sum is that of the bodies and
// within the limit, that a refused body keeps its bytes, and that a body is refused only if it does
// not fit.
func TestBodiesForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies := newBodies()
		models := []*modelBody{}
		sumOf := func(isCounted func(owner string) bool) (sum int) {
			for _, m := range models {
				if isCounted(m.owner) {
					sum += m.bytes
				}
			}
			return sum
		}
		sum := func() int { return sumOf(func(string) bool { return true }) }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				owner := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "owner")
				models = append(models, &modelBody{body: bodies.Open(owner), owner: owner})
			},
			"resize": func(t *rapid.T) {
				if len(models) == 0 {
					return
				}
				m := rapid.SampledFrom(models).Draw(t, "body")
				bytes := rapid.IntRange(0, limitBytes+10).Draw(t, "bytes")
				counted := bytes
				if bytes <= freeBytes {
					counted = 0
				}
				others := sumOf(func(owner string) bool { return owner != m.owner })
				own := sumOf(func(owner string) bool { return owner == m.owner })
				fits := counted <= m.bytes || own-m.bytes+counted <= (limitBytes-others)/2
				check(t, (m.body.Resize(bytes) == nil) == fits, "a body is refused if it does not fit")
				if fits {
					m.bytes = counted
				}
			},
			"close": func(t *rapid.T) {
				if len(models) == 0 {
					return
				}
				m := rapid.SampledFrom(models).Draw(t, "body")
				m.body.Close()
				m.bytes = 0
			},
			"": func(t *rapid.T) {
				check(t, bodies.HeldBytes() == sum(), "the sum is that of the bodies")
				check(t, sum() <= limitBytes, "the limit is kept")
			},
		})
	})
}
