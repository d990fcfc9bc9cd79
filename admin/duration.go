package admin

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that JSON gives in milliseconds.
type Duration time.Duration

// String returns the duration rounded to milliseconds.
func (d Duration) String() string {
	return time.Duration(d).Round(time.Millisecond).String()
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(float64(d) / float64(time.Millisecond))
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var ms float64
	if err := json.Unmarshal(data, &ms); err != nil {
		return fmt.Errorf("read milliseconds: %w", err)
	}
	*d = Duration(ms * float64(time.Millisecond))
	return nil
}
