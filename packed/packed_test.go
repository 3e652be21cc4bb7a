package packed_test

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/dutylease"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/packed"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// decoders are the decoders of records of the daemons' own topics.
var decoders = map[string]func(content []byte) error{
	"duties": func(content []byte) error { _, err := dutylease.DecodeRecord(1, content); return err },
	"rule":   func(content []byte) error { _, err := streamversion.DecodeRule(content); return err },
	"batch":  func(content []byte) error { _, err := streamversion.DecodeBatch(content); return err },
	"counts": func(content []byte) error { _, err := usage.DecodeHandover(1, content); return err },
	"member": func(content []byte) error { var member membership.Member; return packed.Unmarshal(content, &member) },
}

// maxRecordBytes is the size of the largest record of the store.
const maxRecordBytes = 262144

// largeClaim returns an array of a number of elements of which none follows.
func largeClaim(elements uint32) []byte { return binary.BigEndian.AppendUint32([]byte{0xdd}, elements) }

// oddRecords returns records that claim more than they hold, or that are nested deeply.
func oddRecords() map[string][]byte {
	const elements = 4_000_000
	field := func(name string, content []byte) []byte {
		return append(append([]byte{0x81, 0xa0 | byte(len(name))}, name...), content...)
	}
	return map[string][]byte{
		"empty":         {},
		"array":         largeClaim(elements),
		"array in map":  field("Reports", largeClaim(elements)),
		"counts":        append([]byte{0x92, 0xa1, 'p'}, largeClaim(elements)...),
		"map":           binary.BigEndian.AppendUint32([]byte{0xdf}, elements),
		"text":          binary.BigEndian.AppendUint32([]byte{0xdb}, 1<<31),
		"bytes":         field("Holder", binary.BigEndian.AppendUint32([]byte{0xc6}, 1<<31)),
		"extension":     field("Later", binary.BigEndian.AppendUint32([]byte{0xc9}, 1<<31)),
		"unknown code":  field("Later", []byte{0xc1}),
		"nested":        bytes.Repeat([]byte{0x91}, maxRecordBytes),
		"nested in map": field("Later", bytes.Repeat([]byte{0x91}, maxRecordBytes-16)),
		"nested maps":   field("Later", bytes.Repeat([]byte{0x81, 0xa0}, maxRecordBytes/2-16)),
		"nested extra":  append([]byte{0x96, 0xa0, 0xa0, 0xa0, 0xa0, 0xa0}, bytes.Repeat([]byte{0x91}, maxRecordBytes-16)...),
		"nested closed": append(field("Later", bytes.Repeat([]byte{0x91}, maxRecordBytes-16)), 0xc0),
	}
}

// maxDecodeBytes bounds what the decoding of one odd record may allocate, on the heap and for
// stacks.
const maxDecodeBytes = 2 << 20

// TestOddRecordsOfOwnTopicsAllocateLittle guards against a daemon that is killed for its memory,
// at each start, since a record claims more elements than it has or is nested deeply.
func TestOddRecordsOfOwnTopicsAllocateLittle(t *testing.T) {
	for name, content := range oddRecords() {
		for decoder, decode := range decoders {
			t.Run(name+" as "+decoder, func(t *testing.T) {
				c := qt.New(t)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				result := make(chan error)
				go func() {
					err := decode(content)
					// The stack keeps its size until the next collection.
					runtime.ReadMemStats(&after)
					result <- err
				}()
				err := <-result
				c.Check(err, qt.IsNotNil)
				heap := after.TotalAlloc - before.TotalAlloc
				stacks := after.StackInuse - min(before.StackInuse, after.StackInuse)
				c.Check(heap <= maxDecodeBytes, qt.IsTrue, qt.Commentf("%d bytes on the heap", heap))
				c.Check(stacks <= maxDecodeBytes, qt.IsTrue, qt.Commentf("%d bytes of stacks", stacks))
			})
		}
	}
}
