package document

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

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

// UnmarshalYAML implements yaml.NodeUnmarshaler; a number without a unit is an error with its line.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text, ok := node.(*ast.StringNode)
	if !ok {
		return durationError(node)
	}

	value, err := time.ParseDuration(text.Value)
	if err != nil {
		return durationError(node)
	}

	*d = Duration(value)

	return nil
}

func durationError(node ast.Node) error {
	message := fmt.Sprintf("duration %s: want a number with a unit, such as \"30s\"", node)

	return &yaml.SyntaxError{Message: message, Token: node.GetToken()}
}
