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
	c.Assert(taken.Resize(60), qt.IsNil)
	c.Assert(grown.Resize(20), qt.IsNil)
	var noRoom *buffer.NoRoomError
	c.Assert(errors.As(grown.Resize(41), &noRoom), qt.IsTrue)
	c.Check(*noRoom, qt.Equals, buffer.NoRoomError{Owner: "two", Bytes: 41, HeldBytes: 80, LimitBytes: limitBytes, FitsLater: true})
	c.Check(bodies.HeldBytes(), qt.Equals, 80)
	taken.Close()
	taken.Close()
	c.Check(grown.Resize(41), qt.IsNil)
	c.Check(bodies.HeldBytes(), qt.Equals, 41)
}

// TestShortBodiesAreNotRefused guards against short requests that fail beside long ones.
func TestShortBodiesAreNotRefused(t *testing.T) {
	c := qt.New(t)
	bodies := newBodies()
	c.Assert(bodies.Open("long").Resize(limitBytes), qt.IsNil)
	c.Check(bodies.Open("short").Resize(freeBytes), qt.IsNil)
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
	bytes int
}

// TestBodiesForAnySequence checks after any sequence of calls that the sum is that of the bodies and
// within the limit, that a refused body keeps its bytes, and that a body is refused only if it does
// not fit.
func TestBodiesForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies := newBodies()
		models := []*modelBody{}
		sum := func() int {
			sum := 0
			for _, m := range models {
				sum += m.bytes
			}
			return sum
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) { models = append(models, &modelBody{body: bodies.Open("any")}) },
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
				fits := sum()-m.bytes+counted <= limitBytes
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
