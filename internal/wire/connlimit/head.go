package connlimit

import (
	"net/http"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
)

const (
	// headSlack is what a head may have beyond its limit, which counts neither the spaces around values nor the end of the request line.
	// What net/http reads ahead of the end of a head is not more either.
	headSlack = 4 << 10
	// fieldBytes and byteFactor give what a head takes: 2,000 short fields take about 140 bytes each beside their text, which is kept
	// twice while it is read.
	fieldBytes, byteFactor = 160, 2
	// FreeHeadBytes is the size of what a head may take without the budget: 4 KB of text in 50 fields. Requests of the usual size are thus
	// never refused because others fill the budget.
	FreeHeadBytes = 16 << 10
)

// Head is the limit of a connection with HTTP requests. A head that ends within one read is counted up to its end, and what follows a head
// is not counted until the server waits for the next one.
type Head struct {
	// Max returns the maximum size of a head in bytes; 0 is no limit.
	Max func() int64
	// Refusal returns the response to a request whose head is refused; may be nil.
	Refusal func(reason Reason) []byte

	reservation memory.Reservation
	// inBody is true from the end of a head until the server waits for the next one.
	inBody bool
	// size and lines are those of the head so far.
	size, lines int64
	// inLine is true after a byte of a line that is not empty.
	inLine bool
}

// NewHead returns the limit of a new connection.
func NewHead(budget *memory.Budget, limit func() int64) *Head {
	return &Head{Max: limit, reservation: memory.Reservation{Budget: budget, Free: FreeHeadBytes}}
}

func (h *Head) take(data []byte) Reason {
	if h.inBody {
		return ""
	}

	h.scan(data)

	if limit := h.Max(); limit > 0 && h.size > limit+headSlack {
		return TooLarge
	}

	return reserve(&h.reservation, h.size*byteFactor+h.lines*fieldBytes)
}

// scan counts bytes and lines up to the empty line after the first line. Empty lines before it count like others.
func (h *Head) scan(data []byte) {
	for _, next := range data {
		h.size++

		switch {
		case next == '\r':
		case next != '\n':
			h.inLine = true
		case h.inLine:
			h.lines++
			h.inLine = false
		case h.lines > 0:
			h.inBody = true
			return
		}
	}
}

func (h *Head) refusal(reason Reason) []byte {
	if h.Refusal == nil {
		return nil
	}

	return h.Refusal(reason)
}

func (*Head) drop([]byte) bool {
	return false
}

func (h *Head) isPending() bool {
	return !h.inBody
}

func (h *Head) observe(state http.ConnState) {
	switch state {
	case http.StateIdle:
		h.release()
		h.inBody, h.size, h.lines, h.inLine = false, 0, 0, false
	case http.StateActive, http.StateHijacked, http.StateClosed:
		h.inBody = true
	}
}

func (h *Head) release() {
	h.reservation.Release()
}
