// Package quarantine decides which prompt parts, requests and adapters are kept from backend servers because they end the servers. What is
// held is a subject: a prompt part that several requests share, one request that is sent again and again, or an adapter to be loaded.
package quarantine

import (
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

const (
	// maxPartBytes is the length of an id above which its hash takes its place, so that callers cannot fill the memory.
	maxPartBytes = 64
	// maxParts is the number of parts of one prompt that are considered.
	maxParts = 32
)

// SharedParts returns the ids of the parts of a prompt that other requests may share: all but the last, at most maxParts.
func SharedParts(parts []message.PromptPart) []string {
	if len(parts) < 2 {
		return nil
	}

	shared := parts[:min(len(parts)-1, maxParts)]
	ids := make([]string, len(shared))

	for i, part := range shared {
		ids[i] = partID(part.ID)
	}

	return ids
}

// partID returns the subject of a part, which has no other kind and is text.
func partID(id string) string {
	if len(id) <= maxPartBytes && KindOf(id) == Part && utf8.ValidString(id) {
		return id
	}

	return "hash:" + strconv.FormatUint(xxhash.Sum64String(id), 16)
}
