package settings

import (
	"bytes"
	"os"

	"github.com/goccy/go-yaml"

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

// Parse reads strict YAML: unknown keys, repeated keys and values of the wrong type are errors with line numbers.
func Parse(data []byte, into Settings) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField())

	if err := decoder.Decode(into); err != nil {
		return fault.New(fault.InvalidRequest, "settings: %s", yaml.FormatError(err, false, true))
	}

	return into.Validate()
}
