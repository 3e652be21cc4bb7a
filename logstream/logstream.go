// Package logstream connects watermill to the platform's log service: a topic
// is a stream, and a message is a record.
//
// Only payloads are stored in the log. The UUID and the metadata of a published
// message are not; a subscriber derives them from the record.
package logstream

import (
	"fmt"
	"strconv"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// The keys of the metadata of a message.
const (
	// MetadataOffset is the offset of the record in its stream.
	MetadataOffset = "Offset"
	// MetadataTime is when the log accepted the record, in RFC 3339 form.
	MetadataTime = "Time"
)

// The counters of this package.
const (
	CounterAppends       = "Logstream.Appends"
	CounterAppendsFailed = "Logstream.AppendsFailed"
	CounterReads         = "Logstream.Reads"
	CounterReadsFailed   = "Logstream.ReadsFailed"
	CounterRecords       = "Logstream.Records"
	CounterRedeliveries  = "Logstream.Redeliveries"
	CounterTrimmed       = "Logstream.Trimmed"
	// CounterLogShrunk counts reads that reported an end of the log below the
	// offsets of records already delivered.
	CounterLogShrunk = "Logstream.LogShrunk"
)

// Offset returns the offset of a message that was published or received.
func Offset(m *message.Message) (uint64, error) {
	text := m.Metadata.Get(MetadataOffset)
	offset, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &MetadataError{Key: MetadataOffset, Value: text}
	}
	return offset, nil
}

// Time returns when the log accepted a message that was received.
func Time(m *message.Message) (time.Time, error) {
	text := m.Metadata.Get(MetadataTime)
	accepted, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, &MetadataError{Key: MetadataTime, Value: text}
	}
	return accepted, nil
}

// newMessage returns the message of a record.
func newMessage(topic string, record hosting.Record) *message.Message {
	m := message.NewMessage(fmt.Sprintf("%s/%d", topic, record.Offset), record.Payload)
	m.Metadata.Set(MetadataOffset, strconv.FormatUint(record.Offset, 10))
	m.Metadata.Set(MetadataTime, record.Time.Format(time.RFC3339Nano))
	return m
}
