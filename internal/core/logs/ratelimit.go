package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// window is the period over which lines are counted.
const window = time.Second

// RateLimiter is a logrus.Formatter that limits the number of lines per second for each message. The first line of a message
// in a later window has the number of omitted lines in the field "omitted". Its exported fields must be set before use.
type RateLimiter struct {
	logrus.Formatter
	// LinesPerSecond is the maximum number of lines per second for each message, regardless of their level.
	LinesPerSecond int

	mu      sync.Mutex
	windows map[string]*messageWindow
}

// messageWindow counts the lines of one message in the current window.
type messageWindow struct {
	start   time.Time
	lines   int
	omitted int
}

// Format implements logrus.Formatter. It returns no bytes for an omitted line.
func (r *RateLimiter) Format(entry *logrus.Entry) ([]byte, error) {
	omitted, ok := r.allow(entry.Time, entry.Message)
	if !ok {
		return nil, nil
	}

	if omitted > 0 {
		entry.Data["omitted"] = omitted
	}

	return r.Formatter.Format(entry)
}

// allow reports whether a line is to be written, and how many lines were omitted in the previous window.
func (r *RateLimiter) allow(now time.Time, message string) (omitted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.windows == nil {
		r.windows = map[string]*messageWindow{}
	}

	found := r.windows[message]
	if found == nil {
		found = &messageWindow{start: now}
		r.windows[message] = found
	}

	// A clock that was set back also starts a new window.
	if elapsed := now.Sub(found.start); elapsed >= window || elapsed < 0 {
		omitted = found.omitted
		*found = messageWindow{start: now}
	}

	if found.lines >= r.LinesPerSecond {
		found.omitted++
		return 0, false
	}

	found.lines++

	return omitted, true
}
