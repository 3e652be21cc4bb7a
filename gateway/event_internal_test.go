package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// countedText is a source of events whose buffer has no limit.
type countedText struct{ *strings.Reader }

func (countedText) ResizeBuffer(int) error { return nil }

// BenchmarkEvents reads a stream of a thousand events of one token each.
func BenchmarkEvents(b *testing.B) {
	const events = 1000
	var content strings.Builder
	for range events {
		content.WriteString("id: 1\ndata: {\"choices\":[{\"index\":0,\"text\":\" token\"}]}\n\n")
	}
	b.ReportAllocs()
	b.SetBytes(int64(content.Len()))
	for range b.N {
		reader := newEventReader(countedText{strings.NewReader(content.String())})
		count := 0
		for ; ; count++ {
			if _, err := reader.next(); errors.Is(err, io.EOF) {
				break
			}
		}
		if count != events {
			b.Fatal(count)
		}
	}
}
