package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// keyBytes is the size of a key in binary form.
const keyBytes = sha256.Size

// Key identifies a keyed request, which is a request with an idempotency key. It
// is a SHA-256 sum in hexadecimal.
type Key string

// NewKey returns the key of a customer's request. target is the name of the
// model or service.
func NewKey(customer, target, idempotencyKey string) Key {
	var encoded []byte
	for _, part := range []string{customer, target, idempotencyKey} {
		// The length prefixes give different keys to different splits of the
		// same bytes.
		encoded = binary.AppendUvarint(encoded, uint64(len(part)))
		encoded = append(encoded, part...)
	}
	sum := sha256.Sum256(encoded)
	return Key(hex.EncodeToString(sum[:]))
}

// Check returns a *KeyError for a key that NewKey cannot have produced.
func (k Key) Check() error {
	_, err := k.binary()
	return err
}

// binary returns the key in binary form, or a *KeyError.
func (k Key) binary() (raw [keyBytes]byte, err error) {
	decoded, err := hex.DecodeString(string(k))
	if err != nil || len(decoded) != keyBytes {
		return raw, &KeyError{Key: k}
	}
	copy(raw[:], decoded)
	return raw, nil
}

// Claim is the attempt of one process to get the exclusive right to run a keyed
// request. Daemon, Incarnation and Number identify the claim.
type Claim struct {
	Key Key
	// Daemon is the name of the claiming daemon's VM.
	Daemon string
	// Incarnation is unique to each start of the process.
	Incarnation string
	// Number is unique to each claim of the incarnation and increases.
	Number uint64
	// Fingerprint is a hash of the request's payload.
	Fingerprint uint64
	// Time is when the log accepted the claim, by the log's clock; zero
	// until then.
	Time time.Time
}

// IsSame reports whether both are the same claim.
func (c Claim) IsSame(other Claim) bool {
	return c.Key == other.Key && c.Daemon == other.Daemon &&
		c.Incarnation == other.Incarnation && c.Number == other.Number
}
