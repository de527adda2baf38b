package follow

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
)

const (
	// maxHistoryBytes bounds the log entries kept for peers. At a few hundred bytes a change it holds several days.
	maxHistoryBytes = 4 << 20
	// maxReplyLogBytes bounds the log entries of one reply; drpc refuses messages above 4 MiB.
	maxReplyLogBytes = 2 << 20
)

// history keeps recent log entries, without gaps, and when this process reached each version.
type history struct {
	entries []historyEntry
	// bytes is the sum of the sizes of entries; at most maxHistoryBytes.
	bytes int
	// firstDocumentAt is when this process got its first document, or the last one without the changes that lead to it.
	firstDocumentAt time.Time
}

type historyEntry struct {
	version int64
	// data is the change in JSON.
	data []byte
	// at is when this process reached the version.
	at time.Time
}

// reset discards the entries when a version was reached without knowing the changes before it.
func (h *history) reset(now time.Time) {
	h.entries = nil
	h.bytes = 0
	h.firstDocumentAt = now
}

func (h *history) add(changes []document.Change, now time.Time) {
	if h.firstDocumentAt.IsZero() {
		h.firstDocumentAt = now
	}

	for _, change := range changes {
		data, err := json.Marshal(change)
		if err != nil {
			logger.WithError(err).Error("failed to encode a log entry")
			h.reset(now)

			return
		}

		h.entries = append(h.entries, historyEntry{version: change.Version, data: data, at: now})
		h.bytes += len(data)
	}

	for h.bytes > maxHistoryBytes {
		h.bytes -= len(h.entries[0].data)
		h.entries = h.entries[1:]
	}
}

// after returns the entries that follow a version, as many as fit into one reply; false if the history starts later.
func (h *history) after(version int64) ([][]byte, bool) {
	from := sort.Search(len(h.entries), func(i int) bool { return h.entries[i].version > version })
	if from == len(h.entries) || h.entries[from].version != version+1 {
		return nil, false
	}

	var (
		found [][]byte
		size  int
	)

	for _, entry := range h.entries[from:] {
		size += len(entry.data)
		if size > maxReplyLogBytes {
			break
		}

		found = append(found, entry.data)
	}

	return found, true
}

// reachedAt returns when this process first had the version or a later one.
func (h *history) reachedAt(version int64) time.Time {
	at := sort.Search(len(h.entries), func(i int) bool { return h.entries[i].version >= version })
	if at == len(h.entries) || (at == 0 && h.entries[0].version > version) {
		return h.firstDocumentAt
	}

	return h.entries[at].at
}
