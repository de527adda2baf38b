package settings

import (
	"bytes"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/chestnutbeam/chestnutbeam/internal/config/locate"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Settings is implemented by the settings of each kind of process.
type Settings interface {
	// Validate returns an error for the first invalid field.
	Validate() error
}

// Load reads a YAML file into the settings and validates them; see Parse.
func Load(path string, into Settings) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "read settings")
	}

	return Parse(data, into)
}

// Parse decodes strict YAML into the settings and validates them. Unknown keys, repeated keys, values of the wrong type and
// durations without a unit are errors. Errors contain the line number.
func Parse(data []byte, into Settings) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField(), yaml.CustomUnmarshaler(unmarshalDuration))

	if err := decoder.Decode(into); err != nil {
		return decodeError(data, err)
	}

	err := into.Validate()

	var problem *fault.Error
	if errors.As(err, &problem) {
		return fault.New(problem.Kind, "line %d: %s", fieldLine(data, problem.Param), problem.Message).WithParam(problem.Param)
	}

	return err
}

// durationError is the error for an invalid duration. The YAML decoder would read a number without a unit as nanoseconds.
type durationError struct {
	text string
}

// Error implements error.
func (d *durationError) Error() string {
	return "must be a number with a unit, such as \"30s\""
}

func unmarshalDuration(into *time.Duration, data []byte) error {
	text := strings.TrimSpace(string(data))

	value, err := time.ParseDuration(strings.Trim(text, `"'`))
	if err != nil {
		return &durationError{text: text}
	}

	*into = value

	return nil
}

func decodeError(data []byte, err error) error {
	var invalid *durationError
	if !errors.As(err, &invalid) {
		return fault.New(fault.InvalidRequest, "settings: %s", yaml.FormatError(err, false, true))
	}

	key, at, ok := locate.Parse(data).Key(invalid.text)
	if !ok {
		return fault.New(fault.InvalidRequest, "settings: duration %s: %s", invalid.text, invalid)
	}

	return fault.New(fault.InvalidRequest, "line %d: settings: %s: %q: %s", at, key, invalid.text, invalid).WithParam(key)
}

// fieldLine returns the line of a field such as operators[0].hash.
func fieldLine(data []byte, field string) int {
	path := strings.FieldsFunc(field, func(r rune) bool { return strings.ContainsRune(".[]", r) })

	return locate.Parse(data).Line(path...)
}
