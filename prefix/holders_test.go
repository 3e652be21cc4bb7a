package prefix_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/prefix"
)

func TestMatch(t *testing.T) {
	blocks := []uint64{10, 11, 12, 13}
	tests := map[string]struct {
		change func(h *prefix.Holders)
		want   []int32
	}{
		"no blocks":      {func(*prefix.Holders) {}, []int32{0, 0}},
		"whole prompt":   {func(h *prefix.Holders) { addAll(h, blocks, 1) }, []int32{0, 4}},
		"lost event":     {func(h *prefix.Holders) { addAll(h, blocks, 0); h.Remove(11, 0) }, []int32{4, 0}},
		"last evicted":   {func(h *prefix.Holders) { addAll(h, blocks, 0); h.Remove(13, 0) }, []int32{3, 0}},
		"runner removed": {func(h *prefix.Holders) { addAll(h, blocks, 0); h.Forget(0) }, []int32{0, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			holders := prefix.NewHolders(16)
			test.change(holders)
			depths := make([]int32, 2)
			holders.Match(blocks, depths)
			qt.Assert(t, depths, qt.DeepEquals, test.want)
		})
	}
}

func TestHoldersAreBounded(t *testing.T) {
	c := qt.New(t)
	holders := prefix.NewHolders(8)
	for block := range uint64(100) {
		for runner := range 40 {
			holders.Add(block, runner)
		}
	}
	c.Assert(holders.Len(), qt.Equals, 8)
	depths := make([]int32, 40)
	holders.Match([]uint64{99}, depths)
	c.Assert(depths[39], qt.Equals, int32(1))
	c.Assert(depths[0], qt.Equals, int32(0))
}

func addAll(holders *prefix.Holders, blocks []uint64, runner int) {
	for _, block := range blocks {
		holders.Add(block, runner)
	}
}
