package engine

import (
	"fmt"
	"hash/fnv"
	"strings"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// The values of api.Event.FinishReason.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

const (
	// minLength and lengthSpread give the range of output lengths, in tokens, before the request's limits apply.
	minLength    = 16
	lengthSpread = 112
	// bytesPerToken converts prompt bytes to prompt tokens.
	bytesPerToken = 4
)

// Output returns the complete output for a request, one string for each token, and its finish reason. It depends on the adapter,
// its version, the prompt, the token limit and the stop strings; temperature and seed have no effect.
func Output(request api.Request) ([]string, string) {
	source := request.Adapter.Name + "@" + request.Adapter.Version
	length := minLength + int64(hash(source, request.Prompt, 0)%lengthSpread)
	finish := FinishStop

	if request.MaxTokens < length {
		length = max(0, request.MaxTokens)
		finish = FinishLength
	}

	tokens := make([]string, 0, length)
	for i := range length {
		tokens = append(tokens, fmt.Sprintf("%s:%08x ", source, hash(source, request.Prompt, i+1)))
	}

	truncated, found := truncateAtStop(tokens, request.Stop)
	if found {
		finish = FinishStop
	}

	return truncated, finish
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int64 {
	return int64(len(prompt)+bytesPerToken-1) / bytesPerToken
}

func hash(source, prompt string, position int64) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%d", source, prompt, position)

	return h.Sum32()
}

// truncateAtStop ends the tokens before the first occurrence of a stop string and reports whether there was one.
func truncateAtStop(tokens, stops []string) ([]string, bool) {
	text := strings.Join(tokens, "")
	end := len(text)

	for _, stop := range stops {
		if at := strings.Index(text, stop); stop != "" && at >= 0 {
			end = min(end, at)
		}
	}

	if end == len(text) {
		return tokens, false
	}

	var kept []string

	for _, token := range tokens {
		if end <= 0 {
			break
		}

		kept = append(kept, token[:min(len(token), end)])
		end -= len(token)
	}

	return kept, true
}
