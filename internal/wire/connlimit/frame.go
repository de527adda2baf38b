package connlimit

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcwire"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
)

const (
	// maxFrameBytes bounds the data of a drpc frame. Senders split messages into frames of 64 KB.
	maxFrameBytes = 256 << 10
	// freeMessageBytes is the size of a message that needs no budget.
	freeMessageBytes = 64 << 10
	// messageNumerator and messageDenominator give what a message takes: the reader's buffer grows by a quarter at a time.
	messageNumerator, messageDenominator = 5, 4
	// keptMessages is the number of messages for which the reader of drpc keeps a buffer that is larger than they need.
	keptMessages = 12
	// doneBit marks the last frame of a message.
	doneBit = 1
	// refusalMessage is the id of the message that refuses a stream. It is larger than those of messages that were sent before.
	refusalMessage = 1 << 40
	// maxDroppedBytes bounds the bytes of a refused message that are read.
	maxDroppedBytes = 8 << 20
	// varints is the number of varints in the header of a frame: the ids of stream and message, and the length of the data.
	varints = 3
	// maxVarintBytes is the size of the longest varint.
	maxVarintBytes = 10
	varintBits     = 7
	varintMask     = 1<<varintBits - 1
)

// CodeNotRun is the code of the drpc error with which a stream is refused whose message was not read to its end.
const CodeNotRun = 7614

// errNotRun is sent to the peer with CodeNotRun.
var errNotRun = errors.New("other messages take the memory for messages")

// Frame is the limit of a connection with drpc messages.
type Frame struct {
	reservation memory.Reservation
	// accepted is true once a message was complete.
	accepted bool
	// held is the size of the buffer that is accounted for, and small counts the messages since one needed it.
	held  int64
	small int
	// size is that of the message so far.
	size int64
	// done is true if the current frame is the last one of its message.
	done bool
	// inFrame is true after the control byte of a frame, and number the varints of its header that are complete.
	inFrame bool
	number  int
	// value and shift are those of the varint so far; the last value is the number of bytes that are left of the frame.
	value uint64
	shift uint
	// stream is the id of the stream of the current frame.
	stream uint64
	// dropped counts the bytes of a message that is refused, of which rest is true until its end.
	dropped int
	rest    bool
}

// NewFrame returns the limit of a new connection.
func NewFrame(budget *memory.Budget) *Frame {
	return &Frame{reservation: memory.Reservation{Budget: budget, Free: freeMessageBytes}}
}

func (f *Frame) take(data []byte) Reason {
	for len(data) > 0 {
		if f.inFrame && f.number == varints {
			data = f.skip(data)
			continue
		}

		reason := f.header(data[0])
		data = data[1:]

		if reason != "" {
			f.rest = !f.isLast()
			f.drop(data)

			return reason
		}
	}

	return ""
}

// isLast reports whether the current frame is the last one of its message and has been read.
func (f *Frame) isLast() bool {
	return f.done && !f.inFrame
}

// header takes a byte of the header of a frame.
func (f *Frame) header(next byte) Reason {
	if !f.inFrame {
		f.inFrame, f.done = true, next&doneBit != 0
		f.number, f.value, f.shift = 0, 0, 0

		return ""
	}

	f.value |= uint64(next&varintMask) << f.shift
	f.shift += varintBits

	if next > varintMask {
		if f.shift >= maxVarintBytes*varintBits {
			return TooLarge
		}

		return ""
	}

	f.number++
	f.shift = 0

	if f.number == 1 {
		f.stream = f.value
	}

	if f.number < varints {
		f.value = 0
		return ""
	}

	return f.begin()
}

// begin takes the announced size of a frame.
func (f *Frame) begin() Reason {
	if f.value > maxFrameBytes {
		return TooLarge
	}

	f.size += int64(f.value)
	reason := Reason("")

	// What is dropped takes no memory. The connection may also have been closed meanwhile, so that nothing would release it.
	if !f.rest {
		f.held = max(f.held, f.size)
		reason = reserve(&f.reservation, MessageMemory(f.held))
	}

	if f.value == 0 {
		f.end()
	}

	return reason
}

// skip drops the data of a frame and returns what follows it.
func (f *Frame) skip(data []byte) []byte {
	n := min(f.value, uint64(len(data)))
	f.value -= n

	if f.value == 0 {
		f.end()
	}

	return data[n:]
}

// end ends a frame.
func (f *Frame) end() {
	f.inFrame = false

	if !f.done {
		return
	}

	if f.rest {
		f.rest = false
		return
	}

	f.accepted = true
	f.small++

	f.reservation.Settle()

	if f.size >= f.held/4 {
		f.small = 0
	}

	if f.small > keptMessages {
		f.held = f.size
		// A smaller reservation is always possible.
		_ = f.reservation.Resize(MessageMemory(f.held))
	}

	f.size = 0
}

// MessageMemory returns the memory that a message of a size takes while it is read, both in bytes.
func MessageMemory(size int64) int64 {
	return size * messageNumerator / messageDenominator
}

// refusal returns an error for the stream of a message for which there is no memory. The message has not been delivered. The peer must have
// sent all of it first: an error that arrives while it sends is not told apart from a connection that ends.
func (f *Frame) refusal(reason Reason) []byte {
	if reason != NoMemory {
		return nil
	}

	return drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: drpcwire.MarshalError(drpcerr.WithCode(errNotRun, CodeNotRun)), ID: drpcwire.ID{Stream: f.stream, Message: refusalMessage},
		Kind: drpcwire.KindError, Done: true,
	})
}

// drop drops bytes up to the end of the message that is refused.
func (f *Frame) drop(data []byte) (more bool) {
	f.dropped += len(data)

	for len(data) > 0 && f.rest {
		data = f.dropPart(data)
	}

	return f.rest && f.dropped <= maxDroppedBytes
}

// dropPart drops a byte of a header, or data, and returns what follows.
func (f *Frame) dropPart(data []byte) []byte {
	if f.inFrame && f.number == varints {
		return f.skip(data)
	}

	// A frame beyond its limit is not read to its end.
	f.rest = f.header(data[0]) != TooLarge && f.rest

	return data[1:]
}

func (f *Frame) isPending() bool {
	return !f.accepted
}

func (*Frame) observe(http.ConnState) {}

func (f *Frame) release() {
	f.reservation.Release()
}
