package api

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// maxStopSequences is the maximum number of stop sequences of a request.
	maxStopSequences = 4
	// maxTemperature is the maximum value of temperature.
	maxTemperature = 2
	// bytesPerToken is the number of prompt bytes that count as one token. The entry has no tokenizer, so the client account
	// is charged this documented estimate for the prompt.
	bytesPerToken = 4
)

// completionRequest holds the supported fields of chat and text completions; others are ignored.
type completionRequest struct {
	Model       string         `json:"model"`
	Prompt      textContent    `json:"prompt"`
	Messages    []inputMessage `json:"messages"`
	MaxTokens   *int64         `json:"max_tokens"`
	MaxOutput   *int64         `json:"max_completion_tokens"`
	Temperature *float64       `json:"temperature"`
	Seed        int64          `json:"seed"`
	Stop        stringList     `json:"stop"`
	N           *int64         `json:"n"`
	Stream      bool           `json:"stream"`
	Options     struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// inputMessage is one message of a chat.
type inputMessage struct {
	Role    string      `json:"role"`
	Content textContent `json:"content"`
}

// textContent is a string, or a list of text parts as in the messages of a chat.
type textContent string

// UnmarshalJSON implements json.Unmarshaler.
func (t *textContent) UnmarshalJSON(data []byte) error {
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

		*t += textContent(part.Text)
	}

	return nil
}

// stringList is a string or a list of strings.
type stringList []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *stringList) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		*l = make(stringList, 1)
		return json.Unmarshal(data, &(*l)[0])
	}

	return json.Unmarshal(data, (*[]string)(l))
}

func parseCompletion(data []byte) (completionRequest, error) {
	var request completionRequest

	err := json.Unmarshal(data, &request)

	var typeErr *json.UnmarshalTypeError

	switch {
	case errors.As(err, &typeErr):
		return request, fault.Wrap(err, fault.InvalidRequest, "%s has the wrong type", typeErr.Field).WithParam(typeErr.Field)
	case err != nil:
		return request, fault.Wrap(err, fault.InvalidRequest, "the request body could not be decoded: %s", err)
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
	case r.Temperature != nil && (*r.Temperature < 0 || *r.Temperature > maxTemperature):
		return invalid("temperature", "must be from 0 to 2")
	case len(r.Stop) > maxStopSequences:
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

// maxOutput returns the caller's maximum number of output tokens, or 0 if there is none, and the name of its field.
func (r *completionRequest) maxOutput() (tokens int64, param string) {
	switch {
	case r.MaxOutput != nil:
		return *r.MaxOutput, "max_completion_tokens"
	case r.MaxTokens != nil:
		return *r.MaxTokens, "max_tokens"
	default:
		return 0, "max_tokens"
	}
}

// chatPrompt formats each message as "<|role|>\ncontent\n" and appends the header of the assistant's message.
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

// promptTokens estimates the number of tokens of a prompt.
func promptTokens(prompt string) int64 {
	return int64(math.Ceil(float64(len(prompt)) / bytesPerToken))
}
