package engine

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// Finish reasons.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

const (
	// leastLength and lengthSpread bound the natural length of an answer, in tokens.
	leastLength  = 16
	lengthSpread = 112
	// bytesPerToken converts prompt bytes to prompt tokens.
	bytesPerToken = 4
)

// Output returns the whole answer to a request, one string for each event of one token, and its finish reason. It depends
// on the adapter, its version, the prompt, the token limit and the stop strings; temperature and seed change nothing.
func Output(request engine.Request) ([]string, string) {
	source := request.Adapter.Name + "@" + request.Adapter.Version
	length := leastLength + int64(hash(source, request.Prompt, 0)%lengthSpread)
	finish := FinishStop

	if request.MaxTokens < length {
		length = max(0, request.MaxTokens)
		finish = FinishLength
	}

	words := make([]string, 0, length)
	for i := range length {
		words = append(words, fmt.Sprintf("%s:%08x ", source, hash(source, request.Prompt, i+1)))
	}

	stopped, found := cutAtStop(words, request.Stop)
	if found {
		finish = FinishStop
	}

	return stopped, finish
}

// PromptTokens returns the number of prompt tokens.
func PromptTokens(prompt string) int64 {
	return int64(len(prompt)+bytesPerToken-1) / bytesPerToken
}

func hash(source, prompt string, position int64) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%d", source, prompt, position)

	return h.Sum32()
}

// cutAtStop ends the words before the first occurrence of a stop string.
func cutAtStop(words, stops []string) ([]string, bool) {
	text := strings.Join(words, "")
	end := len(text)

	for _, stop := range stops {
		if at := strings.Index(text, stop); stop != "" && at >= 0 {
			end = min(end, at)
		}
	}

	if end == len(text) {
		return words, false
	}

	var kept []string

	for _, word := range words {
		if end <= 0 {
			break
		}

		kept = append(kept, word[:min(len(word), end)])
		end -= len(word)
	}

	return kept, true
}
