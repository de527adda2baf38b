//go:build review

package lab

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store. Unlike the project's own one it keeps the history of changes: a feed returns every change after a
// version, in order, so that a row that was dropped and written again since comes twice.
type Store struct {
	mu      sync.Mutex
	started time.Time
	changes []change
	waiters chan struct{}
	// era counts how often the store came back from a copy.
	era int
	// silent holds the names of the callers that get no answer; the name "" stands for all.
	silent map[string]chan struct{}
}

type change struct {
	table, key string
	value      []byte
	version    int64
	tombstone  bool
}

type wireRow struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	RowVersion int64  `json:"rowVersion"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// newStore returns an empty store.
func newStore() *Store {
	return &Store{started: time.Now(), waiters: make(chan struct{}), silent: map[string]chan struct{}{}}
}

// Put writes a row whose value is encoded as JSON.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}

	s.add(change{table: table, key: key, value: data})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.add(change{table: table, key: key, tombstone: true})
}

func (s *Store) add(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()

	c.version = int64(len(s.changes) + 1)
	s.changes = append(s.changes, c)
	close(s.waiters)
	s.waiters = make(chan struct{})
}

// Copy returns the version of a copy of the store as it is now.
func (s *Store) Copy() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.changes)
}

// BringBack has the store come back from a copy: what was written since is gone, and its versions are given out again.
func (s *Store) BringBack(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.changes = s.changes[:version:version]
	s.era++
}

// Silence keeps a caller without answers, or all if the name is empty, until Restore.
func (s *Store) Silence(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.silent[caller] == nil {
		s.silent[caller] = make(chan struct{})
	}
}

// Restore ends Silence. Calls that had no answer get none; their channels are closed.
func (s *Store) Restore(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if ended := s.silent[caller]; ended != nil {
		close(ended)
		delete(s.silent, caller)
	}
}

// serve returns the handler for the calls of one caller.
func (s *Store) serve(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.awaitSilence(r.Context(), caller) {
			panic(http.ErrAbortHandler)
		}

		query := r.URL.Query()

		switch r.URL.Path {
		case "/rows-get":
			rows, newest := s.current(query.Get("table"))
			s.answer(w, rows, newest)
		case "/rows-feed":
			after, _ := strconv.Atoi(query.Get("after"))
			wait, _ := strconv.Atoi(query.Get("waitMs"))

			if after > s.Copy() {
				s.head(w)
				w.WriteHeader(http.StatusGone)

				return
			}

			rows, newest := s.feed(r.Context(), query.Get("table"), after, time.Duration(wait)*time.Millisecond)

			// A partition that began meanwhile keeps the answer back.
			if s.awaitSilence(r.Context(), caller) {
				panic(http.ErrAbortHandler)
			}

			s.answer(w, rows, newest)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// awaitSilence waits while the caller gets no answers, and reports whether it did.
func (s *Store) awaitSilence(ctx context.Context, caller string) bool {
	waited := false

	for {
		s.mu.Lock()
		ended := s.silent[caller]

		if ended == nil {
			ended = s.silent[""]
		}

		s.mu.Unlock()

		if ended == nil {
			return waited
		}

		waited = true

		select {
		case <-ended:
		case <-ctx.Done():
			return true
		}
	}
}

// current returns the rows of a table and the newest version of the store.
func (s *Store) current(table string) (rows []wireRow, newest int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	last := map[string]int{}

	for i, c := range s.changes {
		if c.table == table {
			last[c.key] = i
		}
	}

	rows = []wireRow{}

	for i, c := range s.changes {
		if c.table == table && last[c.key] == i && !c.tombstone {
			rows = append(rows, c.row())
		}
	}

	return rows, len(s.changes)
}

// feed returns the changes of a table after a version, for one of which it waits, and the newest version of the store.
func (s *Store) feed(ctx context.Context, table string, after int, wait time.Duration) (rows []wireRow, newest int) {
	timer := time.NewTimer(wait)
	defer timer.Stop()

	for {
		s.mu.Lock()
		rows, newest = []wireRow{}, len(s.changes)

		for _, c := range s.changes[min(after, len(s.changes)):] {
			if c.table == table {
				rows = append(rows, c.row())
			}
		}

		changed := s.waiters
		s.mu.Unlock()

		if len(rows) > 0 {
			return rows, newest
		}

		select {
		case <-changed:
		case <-timer.C:
			return rows, newest
		case <-ctx.Done():
			return rows, newest
		}
	}
}

func (c *change) row() wireRow {
	return wireRow{Table: c.table, Key: c.key, Value: base64.StdEncoding.EncodeToString(c.value), RowVersion: c.version, Tombstone: c.tombstone}
}

// head writes the headers that all answers have.
func (s *Store) head(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()

	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
}

func (s *Store) answer(w http.ResponseWriter, rows []wireRow, newest int) {
	s.head(w)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "rowVersion": newest, "nowMs": time.Since(s.started).Milliseconds()})
}
