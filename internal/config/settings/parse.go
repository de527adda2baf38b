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
	// Validate returns an error that names the first field at fault.
	Validate() error
}

// Load reads a YAML file into the settings and validates them.
func Load(path string, into Settings) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "read settings")
	}

	return Parse(data, into)
}

// Parse reads strict YAML: unknown keys, repeated keys, values of the wrong type and durations without a unit are errors.
// Errors carry the line.
func Parse(data []byte, into Settings) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField(), yaml.CustomUnmarshaler(duration))

	if err := decoder.Decode(into); err != nil {
		return decodeError(data, err)
	}

	err := into.Validate()

	var found *fault.Error
	if errors.As(err, &found) {
		return fault.New(found.Kind, "line %d: %s", line(data, found.Param), found.Message).WithParam(found.Param)
	}

	return err
}

// durationError is a duration that cannot be read. YAML would take a number without a unit as nanoseconds.
type durationError struct {
	text string
}

// Error implements error.
func (d *durationError) Error() string {
	return "want a number with a unit, such as \"30s\""
}

func duration(into *time.Duration, data []byte) error {
	text := strings.TrimSpace(string(data))

	value, err := time.ParseDuration(strings.Trim(text, `"'`))
	if err != nil {
		return &durationError{text: text}
	}

	*into = value

	return nil
}

func decodeError(data []byte, err error) error {
	var wrong *durationError
	if !errors.As(err, &wrong) {
		return fault.New(fault.InvalidRequest, "settings: %s", yaml.FormatError(err, false, true))
	}

	key, at, ok := locate.Parse(data).Key(wrong.text)
	if !ok {
		return fault.New(fault.InvalidRequest, "settings: duration %s: %s", wrong.text, wrong)
	}

	return fault.New(fault.InvalidRequest, "line %d: settings: %s: %q: %s", at, key, wrong.text, wrong).WithParam(key)
}

// line finds a field such as operators[0].hash.
func line(data []byte, field string) int {
	steps := strings.FieldsFunc(field, func(r rune) bool { return strings.ContainsRune(".[]", r) })

	return locate.Parse(data).Line(steps...)
}
