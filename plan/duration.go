package plan

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "400ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler. It returns a *DurationError for
// anything but a string that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return &DurationError{Value: string(raw)}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &DurationError{Value: text}
	}
	*d = Duration(parsed)
	return nil
}
