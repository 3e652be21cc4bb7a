// Package packed decodes msgpack that another writer or another release may have written. Before
// it decodes, it checks that the content holds all that its lengths claim, so that the memory
// for decoding has a bound. It does no I/O.
package packed

import (
	"encoding/binary"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxLevels bounds the arrays and maps that are nested in each other.
const MaxLevels = 32

// Error reports that a content is no value that may be decoded.
type Error struct {
	// Offset is where in the content the fault is.
	Offset int
	Fault  Fault
}

// Fault is what is wrong with a content.
type Fault string

// The faults of contents.
const (
	// Truncated contents end before a value is complete.
	Truncated Fault = "truncated"
	// TooDeep contents have more than MaxLevels nested arrays and maps.
	TooDeep Fault = "nested too deeply"
	// UnknownCode contents have a code that begins no value.
	UnknownCode Fault = "unknown code"
)

// Error implements error.
func (e *Error) Error() string {
	return "packed value " + string(e.Fault) + " at byte " + strconv.Itoa(e.Offset)
}

// Unmarshal decodes a value. It fails with an *Error or with an error of the decoder.
func Unmarshal(content []byte, value any) error {
	if err := Check(content); err != nil {
		return err
	}
	return msgpack.Unmarshal(content, value)
}

// Check checks that a content begins with one complete value. It fails with an *Error.
func Check(content []byte) error {
	// left holds, for each open array or map, the values that still follow in it.
	var left [MaxLevels + 1]uint64
	left[0] = 1
	for level, offset := 0, 0; ; {
		for level > 0 && left[level] == 0 {
			level--
		}
		if left[level] == 0 {
			return nil
		}
		left[level]--
		h, ok := readHead(content[offset:])
		if !ok {
			return &Error{Offset: offset, Fault: UnknownCode}
		}
		// The head itself may be incomplete.
		rest := uint64(len(content) - offset)
		if rest < h.bytes || rest-h.bytes < h.payload || rest-h.bytes < h.values {
			return &Error{Offset: offset, Fault: Truncated}
		}
		offset += int(h.bytes + h.payload)
		if h.values == 0 {
			continue
		}
		if level == MaxLevels {
			return &Error{Offset: offset, Fault: TooDeep}
		}
		level++
		left[level] = h.values
	}
}

// head is the code of a value with its length.
type head struct {
	// bytes is the size of the head, and payload that of the text, the number or the like
	// after it.
	bytes, payload uint64
	// values counts the values of an array, or the keys and values of a map.
	values uint64
}

// readHead reads the head of the value with which a content begins. A head that is not complete
// is longer than the content. It returns false for an unknown code.
func readHead(content []byte) (head, bool) {
	if len(content) == 0 {
		return head{bytes: 1}, true
	}
	code := content[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return head{bytes: 1}, true
	case msgpcode.IsFixedMap(code):
		return head{bytes: 1, values: 2 * uint64(code&msgpcode.FixedMapMask)}, true
	case msgpcode.IsFixedArray(code):
		return head{bytes: 1, values: uint64(code & msgpcode.FixedArrayMask)}, true
	case msgpcode.IsFixedString(code):
		return head{bytes: 1, payload: uint64(code & msgpcode.FixedStrMask)}, true
	}
	if size, found := fixedPayloads[code]; found {
		return head{bytes: 1, payload: size}, true
	}
	form, found := lengthForms[code]
	if !found {
		return head{}, false
	}
	return form.read(content), true
}

// fixedPayloads holds the size of the payload of the codes without a length.
var fixedPayloads = map[byte]uint64{
	msgpcode.Nil: 0, msgpcode.False: 0, msgpcode.True: 0, msgpcode.Float: 4, msgpcode.Double: 8,
	msgpcode.Uint8: 1, msgpcode.Uint16: 2, msgpcode.Uint32: 4, msgpcode.Uint64: 8,
	msgpcode.Int8: 1, msgpcode.Int16: 2, msgpcode.Int32: 4, msgpcode.Int64: 8,
	// The payload of an extension follows a byte with its type.
	msgpcode.FixExt1: 2, msgpcode.FixExt2: 3, msgpcode.FixExt4: 5, msgpcode.FixExt8: 9, msgpcode.FixExt16: 17,
}

// lengthForm is the form of a code that is followed by a length.
type lengthForm struct {
	// bytes is the size of the length, and extra what the payload has beyond it.
	bytes, extra uint64
	// valuesPerUnit is 1 for an array, 2 for a map, and 0 for a payload of bytes.
	valuesPerUnit uint64
}

var lengthForms = map[byte]lengthForm{
	msgpcode.Str8: {bytes: 1}, msgpcode.Str16: {bytes: 2}, msgpcode.Str32: {bytes: 4},
	msgpcode.Bin8: {bytes: 1}, msgpcode.Bin16: {bytes: 2}, msgpcode.Bin32: {bytes: 4},
	msgpcode.Ext8: {bytes: 1, extra: 1}, msgpcode.Ext16: {bytes: 2, extra: 1}, msgpcode.Ext32: {bytes: 4, extra: 1},
	msgpcode.Array16: {bytes: 2, valuesPerUnit: 1}, msgpcode.Array32: {bytes: 4, valuesPerUnit: 1},
	msgpcode.Map16: {bytes: 2, valuesPerUnit: 2}, msgpcode.Map32: {bytes: 4, valuesPerUnit: 2},
}

// read reads the length after the code with which a content begins.
func (f lengthForm) read(content []byte) head {
	h := head{bytes: 1 + f.bytes}
	if uint64(len(content)) < h.bytes {
		return h
	}
	var padded [8]byte
	copy(padded[8-f.bytes:], content[1:h.bytes])
	length := binary.BigEndian.Uint64(padded[:])
	if f.valuesPerUnit > 0 {
		h.values = length * f.valuesPerUnit
		return h
	}
	h.payload = length + f.extra
	return h
}
