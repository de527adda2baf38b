package upstream_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// shortFields returns header fields with distinct names of a few bytes, of about the given size.
func shortFields(size int) string {
	var fields strings.Builder

	for i := 0; fields.Len() < size; i++ {
		_, _ = fmt.Fprintf(&fields, "x%x:\r\n", i)
	}

	return fields.String()
}

// keepingCodec keeps the fields of a head, to forward them.
type keepingCodec struct{ codec }

func (k keepingCodec) Decode(status int, header http.Header) upstream.ResponseInfo {
	info := k.codec.Decode(status, header)

	for name, values := range header {
		for _, value := range values {
			info.Head.Headers = append(info.Head.Headers, message.Header{Name: name, Value: value})
		}
	}

	return info
}

// Guards against memory that the heads of many responses under way take together, since a parsed head takes far more than its bytes.
func TestHeadsOfAllResponsesAreBounded(t *testing.T) {
	const (
		callers = 200
		budget  = 8 << 20
		// growth includes the buffers, and what each head may take without a reservation.
		growth = budget + callers*(160<<10)
		head   = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: 1\r\nContent-Length: 9\r\n"
	)

	cases := map[string]string{
		"whole head":          head + shortFields(48<<10) + "\r\n",
		"head without an end": head + shortFields(48<<10),
	}

	for name, start := range cases {
		t.Run(name, func(t *testing.T) {
			address := serveEndless(t, start, "", time.Second)
			client := &upstream.Client{Codec: keepingCodec{}, Memory: &memory.Budget{Limit: budget}}
			before := heapBytes()

			var group sync.WaitGroup

			for range callers {
				group.Go(func() {
					request := delivery("1")
					request.Deadline = time.Now().Add(2 * time.Second)
					request.ReadTimeout = 0

					_, _ = client.Exchange(t.Context(), address, request, func(message.Event) error { return nil })
				})
			}

			ended := make(chan struct{})

			go func() {
				group.Wait()
				close(ended)
			}()

			most := before

			for running := true; running; most = max(most, heapBytes()) {
				select {
				case <-ended:
					running = false
				case <-time.After(100 * time.Millisecond):
				}
			}

			assert.Assert(t, most < before+growth, "%d kB for each response", (most-before)/callers>>10)
			assert.Equal(t, client.Memory.Used(), int64(0))
		})
	}
}
