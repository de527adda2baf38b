package api

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// mostStops is the number of stop sequences that a request may have.
	mostStops = 4
	// highestTemperature is the upper end of the range of temperature.
	highestTemperature = 2
	// tokenBytes is the number of bytes that count as one token of the prompt. The entry has no tokenizer; the estimate
	// is documented and is what the client account is charged for the prompt.
	tokenBytes = 4
)

// completionRequest holds the fields that are used of both kinds of completion; others are ignored.
type completionRequest struct {
	Model       string   `json:"model"`
	Prompt      text     `json:"prompt"`
	Messages    []turn   `json:"messages"`
	MaxTokens   *int64   `json:"max_tokens"`
	MaxOutput   *int64   `json:"max_completion_tokens"`
	Temperature *float64 `json:"temperature"`
	Seed        int64    `json:"seed"`
	Stop        list     `json:"stop"`
	N           *int64   `json:"n"`
	Stream      bool     `json:"stream"`
	Options     struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type turn struct {
	Role    string `json:"role"`
	Content text   `json:"content"`
}

// text is a string, or a list of text parts as chat messages may have.
type text string

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(data []byte) error {
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}

	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*string)(t))
	}

	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}

	for _, part := range parts {
		if part.Type != "text" {
			return errors.Newf("parts of type %q are not supported", part.Type)
		}

		*t += text(part.Text)
	}

	return nil
}

// list is a string or a list of strings.
type list []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *list) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		*l = make(list, 1)
		return json.Unmarshal(data, &(*l)[0])
	}

	return json.Unmarshal(data, (*[]string)(l))
}

func parseCompletion(data []byte) (completionRequest, error) {
	var request completionRequest

	err := json.Unmarshal(data, &request)

	var wrong *json.UnmarshalTypeError

	switch {
	case errors.As(err, &wrong):
		return request, fault.Wrap(err, fault.InvalidRequest, "%s has the wrong type", wrong.Field).WithParam(wrong.Field)
	case err != nil:
		return request, fault.Wrap(err, fault.InvalidRequest, "the body is not the expected JSON: %s", err)
	default:
		return request, request.validate()
	}
}

func (r *completionRequest) validate() error {
	switch {
	case r.Model == "":
		return invalid("model", "is required, as adapter or adapter@version")
	case r.N != nil && *r.N != 1:
		return invalid("n", "must be 1")
	case r.Temperature != nil && (*r.Temperature < 0 || *r.Temperature > highestTemperature):
		return invalid("temperature", "must be from 0 to 2")
	case len(r.Stop) > mostStops:
		return invalid("stop", "may have at most 4 sequences")
	case r.MaxTokens != nil && *r.MaxTokens < 1:
		return invalid("max_tokens", "must be at least 1")
	case r.MaxOutput != nil && *r.MaxOutput < 1:
		return invalid("max_completion_tokens", "must be at least 1")
	default:
		return nil
	}
}

func invalid(param, rule string) error {
	return fault.New(fault.InvalidRequest, "%s %s", param, rule).WithParam(param)
}

// output returns the caller's maximum of output tokens with the name of its field, or 0.
func (r *completionRequest) output() (tokens int64, param string) {
	switch {
	case r.MaxOutput != nil:
		return *r.MaxOutput, "max_completion_tokens"
	case r.MaxTokens != nil:
		return *r.MaxTokens, "max_tokens"
	default:
		return 0, "max_tokens"
	}
}

// chatPrompt renders the messages as "<|role|>\ncontent\n" each, followed by the opening of the assistant's turn.
func (r *completionRequest) chatPrompt() (string, error) {
	if len(r.Messages) == 0 {
		return "", invalid("messages", "must have at least one message")
	}

	var prompt strings.Builder

	for _, message := range r.Messages {
		switch message.Role {
		case "system", "developer", "user", "assistant":
		default:
			return "", invalid("messages.role", "must be system, developer, user or assistant")
		}

		prompt.WriteString("<|" + message.Role + "|>\n" + string(message.Content) + "\n")
	}

	prompt.WriteString("<|assistant|>\n")

	return prompt.String(), nil
}

func (r *completionRequest) textPrompt() (string, error) {
	if r.Prompt == "" {
		return "", invalid("prompt", "is required")
	}

	return string(r.Prompt), nil
}

// promptTokens estimates the tokens of a prompt.
func promptTokens(prompt string) int64 {
	return int64(math.Ceil(float64(len(prompt)) / tokenBytes))
}
