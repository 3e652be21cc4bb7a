package claim

import (
	"encoding/hex"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cranberrywalk/cranberrywalk/claim/claimpb"
)

const (
	// MaxRecordEntries bounds the claims and the releases of one record.
	MaxRecordEntries = 4096
	// MaxNameBytes bounds the names of daemons and incarnations.
	MaxNameBytes = 128
)

// Record is one append by one process: a batch of releases and claims. Releases
// are applied before claims.
type Record struct {
	Daemon      string
	Incarnation string
	// Sequence is the number of the first claim; the others are numbered
	// consecutively. It is above the LastNumber of every earlier record of the
	// incarnation, except that a repeated append carries the same record once
	// more.
	Sequence uint64
	Claims   []Entry
	Releases []Release
}

// Entry is one claim of a record.
type Entry struct {
	Key         Key
	Fingerprint uint64
}

// Release gives up a claim of the same incarnation.
type Release struct {
	Key    Key
	Number uint64
}

// LastNumber returns the highest number that the record uses. A record without
// claims uses one number as well.
func (r Record) LastNumber() uint64 {
	return r.Sequence + uint64(max(len(r.Claims), 1)) - 1
}

// Claim returns the claim at an index of Claims.
func (r Record) Claim(index int) Claim {
	return Claim{
		Key:         r.Claims[index].Key,
		Daemon:      r.Daemon,
		Incarnation: r.Incarnation,
		Number:      r.Sequence + uint64(index),
		Fingerprint: r.Claims[index].Fingerprint,
	}
}

// Encode returns the record as a payload for the log.
func (r Record) Encode() ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	message := &claimpb.Record{Daemon: r.Daemon, Incarnation: r.Incarnation, Sequence: r.Sequence}
	for _, entry := range r.Claims {
		raw, err := entry.Key.binary()
		if err != nil {
			return nil, err
		}
		message.Keys = append(message.Keys, raw[:]...)
		message.Fingerprints = append(message.Fingerprints, entry.Fingerprint)
	}
	for _, release := range r.Releases {
		raw, err := release.Key.binary()
		if err != nil {
			return nil, err
		}
		message.ReleasedKeys = append(message.ReleasedKeys, raw[:]...)
		message.ReleasedNumbers = append(message.ReleasedNumbers, release.Number)
	}
	return proto.Marshal(message)
}

// Decode parses a payload of the claim stream. It returns a *RecordError for
// bytes that Encode cannot have produced.
func Decode(payload []byte) (Record, error) {
	var message claimpb.Record
	if err := proto.Unmarshal(payload, &message); err != nil {
		return Record{}, &RecordError{Reason: err.Error()}
	}
	claimed, released := len(message.Fingerprints), len(message.ReleasedNumbers)
	if len(message.Keys) != claimed*keyBytes || len(message.ReleasedKeys) != released*keyBytes {
		return Record{}, &RecordError{Reason: "number of keys does not match number of fingerprints or released numbers"}
	}
	record := Record{Daemon: message.Daemon, Incarnation: message.Incarnation, Sequence: message.Sequence}
	for i, fingerprint := range message.Fingerprints {
		record.Claims = append(record.Claims, Entry{Key: keyAt(message.Keys, i), Fingerprint: fingerprint})
	}
	for i, number := range message.ReleasedNumbers {
		record.Releases = append(record.Releases, Release{Key: keyAt(message.ReleasedKeys, i), Number: number})
	}
	return record, record.validate()
}

func keyAt(raw []byte, index int) Key {
	return Key(hex.EncodeToString(raw[index*keyBytes : (index+1)*keyBytes]))
}

func (r Record) validate() error {
	switch {
	case r.Daemon == "" || len(r.Daemon) > MaxNameBytes:
		return &RecordError{Reason: fmt.Sprintf("length of daemon name out of range: %d bytes", len(r.Daemon))}
	case r.Incarnation == "" || len(r.Incarnation) > MaxNameBytes:
		return &RecordError{Reason: fmt.Sprintf("length of incarnation out of range: %d bytes", len(r.Incarnation))}
	case len(r.Claims) > MaxRecordEntries || len(r.Releases) > MaxRecordEntries:
		return &RecordError{Reason: fmt.Sprintf("too many entries: %d claims and %d releases", len(r.Claims), len(r.Releases))}
	case r.Sequence == 0 || r.LastNumber() < r.Sequence:
		return &RecordError{Reason: fmt.Sprintf("sequence out of range: %d", r.Sequence)}
	}
	return nil
}
