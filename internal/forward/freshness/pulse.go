package freshness

import (
	"context"
	"sync"
	"time"
)

const (
	// beatInterval is the time between two beats of a process that runs, and maxBeatGap the time without one after which it has stood still.
	beatInterval = 200 * time.Millisecond
	maxBeatGap   = 600 * time.Millisecond
)

// Pulse tells when a process stood still, so that it does not take for current what it knew before. It is safe for concurrent use.
type Pulse struct {
	// Now returns the local time; nil uses Clock.
	Now func() time.Duration

	mu sync.Mutex
	// beat is when the process was last seen to run; it is set if beating is true. resumed is when it went on after it had stood still.
	beat, resumed time.Duration
	beating       bool
}

// Run beats until the context ends.
func (p *Pulse) Run(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()

	for ctx.Err() == nil {
		p.Beat()

		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Beat records that the process runs.
func (p *Pulse) Beat() {
	now := p.now()

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.beating && now-p.beat > maxBeatGap {
		p.resumed = now
	}

	p.beat, p.beating = now, true
}

// Resumed returns when the process last went on after it had stood still: now if it has not beaten since, and 0 if it never has stood still.
func (p *Pulse) Resumed() time.Duration {
	now := p.now()

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.beating && now-p.beat > maxBeatGap {
		return now
	}

	return p.resumed
}

func (p *Pulse) now() time.Duration {
	if p.Now != nil {
		return p.Now()
	}

	return Clock()
}
