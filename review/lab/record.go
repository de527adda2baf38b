package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

func newRecord() *record {
	return &record{started: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.lines = append(r.lines, fmt.Sprintf("%8.3f  %s", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...)))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
