package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: the tables op and servers, and the calls rows-get and rows-feed.
type store struct {
	mu      sync.Mutex
	started time.Time
	version int64
	era     int64
	tables  map[string]map[string]storeRow
	// server serves the calls; nil while the store is away.
	server *http.Server
	at     string
}

type storeRow struct {
	value   []byte
	version int64
	removed bool
}

func newStore() *store {
	return &store{started: time.Now(), era: 1, tables: map[string]map[string]storeRow{"op": {}, "servers": {}}}
}

func (s *store) start(address string) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.at = address
	s.server = &http.Server{Handler: s}

	go s.server.Serve(listener)

	return nil
}

// put writes a row, and remove drops it; the return is the confirmation.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.version++
	s.tables[table][key] = storeRow{value: data, version: s.version}
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.version++
	s.tables[table][key] = storeRow{version: s.version, removed: true}
}

// copyOf is a copy of the store from which it can come back.
type copyOf struct {
	version int64
	tables  map[string]map[string]storeRow
}

func (s *store) backup() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()

	tables := map[string]map[string]storeRow{}
	for name, rows := range s.tables {
		tables[name] = maps.Clone(rows)
	}

	return copyOf{version: s.version, tables: tables}
}

// stop takes the store away: its listener and all its channels are closed.
func (s *store) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()

	_ = s.server.Close()
}

// restore brings the store back from a copy: versions go back, and the era rises by one.
func (s *store) restore(from copyOf) error {
	s.mu.Lock()
	s.version, s.tables = from.version, from.tables
	s.era++
	s.mu.Unlock()

	return s.start(s.at)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)

	query := r.URL.Query()
	table := query.Get("table")

	switch r.URL.Path {
	case "/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()

		s.reply(w, table, func(row storeRow) bool { return !row.removed }, byKey)
	case "/rows-feed":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
		s.feed(w, r, table, after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	changed := func(row storeRow) bool { return row.version > after }

	for end := time.Now().Add(wait); ; time.Sleep(3 * time.Millisecond) {
		s.mu.Lock()

		switch {
		case after > s.version:
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()

			return
		case s.any(table, changed), time.Now().After(end), r.Context().Err() != nil:
			s.reply(w, table, changed, byVersion)
			s.mu.Unlock()

			return
		}

		s.mu.Unlock()
	}
}

func (s *store) any(table string, match func(storeRow) bool) bool {
	for _, row := range s.tables[table] {
		if match(row) {
			return true
		}
	}

	return false
}

type replyRow struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	RowVersion int64  `json:"rowVersion"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

func byKey(a, b replyRow) int {
	if a.Key < b.Key {
		return -1
	}

	return 1
}

func byVersion(a, b replyRow) int {
	return int(a.RowVersion - b.RowVersion)
}

// reply writes the rows that match; the lock is held.
func (s *store) reply(w http.ResponseWriter, table string, match func(storeRow) bool, order func(a, b replyRow) int) {
	rows := []replyRow{}

	for key, row := range s.tables[table] {
		if match(row) {
			rows = append(rows, replyRow{
				Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(row.value), RowVersion: row.version, Tombstone: row.removed,
			})
		}
	}

	slices.SortFunc(rows, order)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": false, "rowVersion": s.version, "nowMs": time.Since(s.started).Milliseconds(),
	})
}
