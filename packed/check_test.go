package packed_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/packed"
)

// drawValue draws a value of any type that the daemons send, up to some levels.
func drawValue(t *rapid.T, levels int) any {
	kinds := 8
	if levels > 0 {
		kinds = 10
	}
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case 0:
		return nil
	case 1:
		return rapid.Bool().Draw(t, "bool")
	case 2:
		return rapid.Int64().Draw(t, "int")
	case 3:
		return rapid.Uint64().Draw(t, "uint")
	case 4:
		return rapid.Float64().Draw(t, "float")
	case 5:
		return rapid.SliceOfN(rapid.Byte(), 0, 70000).Draw(t, "bytes")
	case 6:
		return rapid.String().Draw(t, "text")
	case 7:
		return rapid.Float32().Draw(t, "short float")
	case 8:
		var list []any
		for range rapid.IntRange(0, 40).Draw(t, "elements") {
			list = append(list, drawValue(t, levels-1))
		}
		return list
	default:
		fields := make(map[string]any)
		for range rapid.IntRange(0, 20).Draw(t, "fields") {
			fields[rapid.StringN(0, 40, -1).Draw(t, "name")] = drawValue(t, levels-1)
		}
		return fields
	}
}

// TestSoundContentsPass guards against a record or a message of another daemon that is refused
// although it is sound, and against a part of one that is not.
func TestSoundContentsPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content, err := msgpack.Marshal(drawValue(t, 3))
		if err != nil {
			t.Fatal(err)
		}
		if err := packed.Check(content); err != nil {
			t.Fatalf("%v in % x", err, content[:min(len(content), 100)])
		}
		cut := rapid.IntRange(0, len(content)-1).Draw(t, "cut")
		var invalid *packed.Error
		if err := packed.Check(content[:cut]); !errors.As(err, &invalid) {
			t.Fatalf("the first %d bytes of % x: %v", cut, content[:min(len(content), 100)], err)
		}
	})
}

// TestAnyContentIsDecodedOrRefused guards against a panic for bytes that no encoder has written.
func TestAnyContentIsDecodedOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "content")
		for _, decode := range decoders {
			_ = decode(content)
		}
	})
}

// TestLevelsAreBounded guards against a bound that sound values reach, or that none reaches.
func TestLevelsAreBounded(t *testing.T) {
	c := qt.New(t)
	value := any(nil)
	for range packed.MaxLevels {
		value = []any{value}
	}
	content, err := msgpack.Marshal(value)
	c.Assert(err, qt.IsNil)
	c.Check(packed.Check(content), qt.IsNil)
	var invalid *packed.Error
	c.Assert(errors.As(packed.Check(append([]byte{0x91}, content...)), &invalid), qt.IsTrue)
	c.Check(invalid.Fault, qt.Equals, packed.TooDeep)
}
