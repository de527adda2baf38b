package document

import (
	"encoding/json"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Duration is a time.Duration written as text with a unit, such as "30s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler; a number without a unit is an error.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "duration %s: want text with a unit, such as \"30s\"", data)
	}

	value, err := time.ParseDuration(text)
	if err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "duration %q: want a number with a unit, such as \"30s\"", text)
	}

	*d = Duration(value)

	return nil
}
