package follow

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
)

const (
	// historyBytes bounds the log entries kept for peers. At a few hundred bytes a change it holds several days.
	historyBytes = 4 << 20
	// replyBytes bounds the log entries of one answer; drpc refuses messages above 4 MiB.
	replyBytes = 2 << 20
)

// history keeps recent log entries, without gaps, and when this process reached each version.
type history struct {
	entries []historyEntry
	bytes   int
	// first is when this process got its first document.
	first time.Time
}

type historyEntry struct {
	version int64
	data    []byte
	at      time.Time
}

// reset forgets the entries when a version was reached without knowing the changes before it.
func (h *history) reset(now time.Time) {
	h.entries = nil
	h.bytes = 0
	h.first = now
}

func (h *history) add(changes []document.Change, now time.Time) {
	if h.first.IsZero() {
		h.first = now
	}

	for _, change := range changes {
		data, err := json.Marshal(change)
		if err != nil {
			logger.WithError(err).Error("log entry cannot be encoded")
			h.reset(now)

			return
		}

		h.entries = append(h.entries, historyEntry{version: change.Version, data: data, at: now})
		h.bytes += len(data)
	}

	for h.bytes > historyBytes {
		h.bytes -= len(h.entries[0].data)
		h.entries = h.entries[1:]
	}
}

// after returns entries that follow a version, as many as fit into one answer; false if the history does not reach back.
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
		if size > replyBytes {
			break
		}

		found = append(found, entry.data)
	}

	return found, true
}

// reached returns when this process first had the version or a later one.
func (h *history) reached(version int64) time.Time {
	at := sort.Search(len(h.entries), func(i int) bool { return h.entries[i].version >= version })
	if at == len(h.entries) || (at == 0 && h.entries[0].version > version) {
		return h.first
	}

	return h.entries[at].at
}
