package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// window is the time over which lines are counted.
const window = time.Second

// RateLimiter is a logrus.Formatter that leaves out lines of a message beyond a number a second. The first line of the message
// in a later second carries how many were left out. Its exported fields are set before use.
type RateLimiter struct {
	logrus.Formatter
	// LinesPerSecond is the number of lines a second for each message; warnings and errors count like all others.
	LinesPerSecond int

	mu    sync.Mutex
	spent map[string]*spending
}

type spending struct {
	since   time.Time
	lines   int
	omitted int
}

// Format implements logrus.Formatter; a line that is left out has no bytes.
func (b *RateLimiter) Format(entry *logrus.Entry) ([]byte, error) {
	omitted, ok := b.take(entry.Time, entry.Message)
	if !ok {
		return nil, nil
	}

	if omitted > 0 {
		entry.Data["omitted"] = omitted
	}

	return b.Formatter.Format(entry)
}

// take reports whether a line is written, and how many were left out before it.
func (b *RateLimiter) take(now time.Time, message string) (omitted int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.spent == nil {
		b.spent = map[string]*spending{}
	}

	found := b.spent[message]
	if found == nil {
		found = &spending{since: now}
		b.spent[message] = found
	}

	// A clock that was set back begins a new window too.
	if passed := now.Sub(found.since); passed >= window || passed < 0 {
		omitted = found.omitted
		*found = spending{since: now}
	}

	if found.lines >= b.LinesPerSecond {
		found.omitted++
		return 0, false
	}

	found.lines++

	return omitted, true
}
