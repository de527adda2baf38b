package agent

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/events"
)

// pauseMeter measures the longest pause between two whole events of a stream. The zero value is ready to use.
type pauseMeter struct {
	// longest is the longest pause so far; 0 before the second event.
	longest time.Duration

	progress events.Progress
	// last is when the last whole event came; zero before the first one.
	last time.Time
}

// observe records a piece of the stream. The receiver of the stream rejects an event that is too long.
func (p *pauseMeter) observe(now time.Time, data []byte) {
	if complete, _ := p.progress.Scan(data); !complete {
		return
	}

	if !p.last.IsZero() {
		p.longest = max(p.longest, now.Sub(p.last))
	}

	p.last = now
}
