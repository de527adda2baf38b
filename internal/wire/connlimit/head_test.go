package connlimit

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
)

const testLimit = 16 << 10

// Guards against heads that take more than their limit or the budget, and against heads inside the limits that are refused, however the bytes
// are split among reads.
func TestHeads(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"

	cases := map[string]struct {
		data    string
		budget  int64
		want    Reason
		pending bool
	}{
		"nothing":                        {"", 1, "", true},
		"half a head":                    {head, 1, "", true},
		"whole head":                     {head + "\r\n", 1, "", false},
		"head without returns":           {"GET / HTTP/1.1\nHost: a\n\n", 1, "", false},
		"body after the head":            {head + "\r\n" + strings.Repeat("\n", 10*testLimit), 1, "", false},
		"empty line before a head":       {"\r\n" + head, 1, "", true},
		"empty lines without end":        {strings.Repeat("\r\n", testLimit), 1 << 20, TooLarge, true},
		"request line without end":       {strings.Repeat("a", testLimit+headSlack+1), 1 << 20, TooLarge, true},
		"head of the limit":              {head + "X: " + strings.Repeat("a", testLimit) + "\r\n\r\n", 1 << 20, "", false},
		"usual head, no budget":          {head + strings.Repeat("X-Field: "+strings.Repeat("a", 70)+"\r\n", 40) + "\r\n", 1, "", false},
		"short fields, no budget":        {head + strings.Repeat("a:\r\n", 200), 1, NoMemory, true},
		"long field, no budget":          {head + "X: " + strings.Repeat("a", testLimit/2), 1, NoMemory, true},
		"fields of the limit, in budget": {head + strings.Repeat("a:\r\n", testLimit/4), 1 << 20, "", true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 7, 4096, 1 << 20} {
				budget := &memory.Budget{Limit: c.budget}
				limit := NewHead(budget, func() int64 { return testLimit })

				assert.Equal(t, takeAll(limit, c.data, size), c.want, "reads of %d bytes", size)
				assert.Equal(t, limit.isPending(), c.pending, "reads of %d bytes", size)
				limit.release()
				assert.Equal(t, budget.Used(), int64(0))
			}
		})
	}
}

// takeAll reads data in parts until it is refused.
func takeAll(limit Limit, data string, size int) Reason {
	for len(data) > 0 {
		n := min(size, len(data))
		if reason := limit.take([]byte(data[:n])); reason != "" {
			return reason
		}

		data = data[n:]
	}

	return ""
}

// Guards against a limit that counts all requests of a kept connection together, or that is off after the first one.
func TestHeadsOfAKeptConnection(t *testing.T) {
	budget := &memory.Budget{Limit: 1 << 20}
	limit := NewHead(budget, func() int64 { return testLimit })
	head := "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", testLimit/2) + "\r\n\r\n"

	for range 5 {
		assert.Equal(t, limit.take([]byte(head)), Reason(""))
		limit.observe(http.StateActive)
		assert.Assert(t, budget.Used() > 0, "a request under way keeps its head")
		assert.Equal(t, limit.take([]byte(strings.Repeat("b", 10*testLimit))), Reason(""), "a body")
		limit.observe(http.StateIdle)
		assert.Equal(t, budget.Used(), int64(0))
		assert.Assert(t, limit.isPending())
	}

	assert.Equal(t, limit.take([]byte(strings.Repeat("a", 2*testLimit))), TooLarge)
}
