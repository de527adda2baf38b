package logs_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/chestnutbeam/chestnutbeam/internal/core/logs"
)

// Guards against log volume that grows with the load, and against lines that are omitted without being counted.
func TestRateLimiter(t *testing.T) {
	limiter := &logs.RateLimiter{Formatter: &logrus.JSONFormatter{}, LinesPerSecond: 2}
	start := time.Unix(1000, 0)

	format := func(after time.Duration, message string) string {
		entry := logrus.NewEntry(logrus.New())
		entry.Time = start.Add(after)
		entry.Message = message

		line, err := limiter.Format(entry)
		assert.NilError(t, err)

		return string(line)
	}

	assert.Assert(t, format(0, "a") != "")
	assert.Assert(t, format(time.Millisecond, "a") != "")
	assert.Equal(t, format(2*time.Millisecond, "a"), "")
	assert.Equal(t, format(3*time.Millisecond, "a"), "")
	assert.Assert(t, format(4*time.Millisecond, "b") != "", "each message has its own limit")
	assert.Assert(t, strings.Contains(format(time.Second, "a"), `"omitted":2`))
	assert.Assert(t, format(-time.Second, "a") != "", "a clock that is set back does not suppress the log")
}

// blockingWriter blocks writes while its mutex is locked.
type blockingWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.written.Write(line)
}

// Guards against a process that blocks when nothing reads its log output.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockingWriter{}
	out.mu.Lock()

	writer := logs.New(out)

	for range 5000 {
		n, err := io.WriteString(writer, "line\n")
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}

	assert.Assert(t, writer.Dropped() > 0)
	out.mu.Unlock()

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		out.mu.Lock()
		defer out.mu.Unlock()

		if strings.Count(out.written.String(), "line\n")+int(writer.Dropped()) == 5000 {
			return poll.Success()
		}

		return poll.Continue("lines are missing")
	})
}

// Guards against the last lines of a process that are lost because it ends before they are written.
func TestFlushWritesBufferedLines(t *testing.T) {
	out := &blockingWriter{}
	writer := logs.New(out)

	for range 100 {
		_, err := io.WriteString(writer, "line\n")
		assert.NilError(t, err)
	}

	writer.Flush(time.Minute)

	out.mu.Lock()
	defer out.mu.Unlock()

	assert.Equal(t, strings.Count(out.written.String(), "line\n"), 100)
}
