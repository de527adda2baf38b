// Package logs writes log lines without blocking the caller and limits the rate of repeated messages.
package logs

import (
	"io"
	"sync/atomic"
	"time"
)

// bufferedLines is the number of lines that are buffered; lines beyond it are dropped and counted.
const bufferedLines = 1024

// flushPollPeriod is the time between two looks at the lines that Flush waits for.
const flushPollPeriod = time.Millisecond

// Writer is an io.Writer that buffers lines and writes them to another writer in its own goroutine.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	// pending is the number of lines that are buffered or being written.
	pending atomic.Int64
}

// New returns a Writer and starts its goroutine, which runs until the process ends.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines)}

	go w.run(out)

	return w
}

// Write implements io.Writer. It never blocks or fails; a line that does not fit in the buffer is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.pending.Add(1)

	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Flush returns when all lines are written, or after the timeout.
func (w *Writer) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); w.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollPeriod)
	}
}

func (w *Writer) run(out io.Writer) {
	for line := range w.lines {
		// A failure to write the log cannot be logged.
		_, _ = out.Write(line)
		w.pending.Add(-1)
	}
}
