package session

import (
	"bytes"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// method makes empty messages of one drpc method.
type method struct {
	up, down func() proto.Message
}

// methods are those that an entry calls at an agent; other calls are not recorded.
var methods = map[string]method{
	"/chestnutbeam.rpc.Agent/Hello": {message[rpc.HelloRequest], message[rpc.HelloReply]},
	"/chestnutbeam.rpc.Agent/Query": {message[rpc.QueryRequest], message[rpc.QueryReply]},
	"/chestnutbeam.rpc.Agent/Run":   {message[rpc.RunUp], message[rpc.RunDown]},
}

func message[T any, P interface {
	*T
	proto.Message
}]() proto.Message {
	return P(new(T))
}

// latencyStep is the difference between the latencies of two connections. Answers that are sent at the same moment on several
// connections arrive in the order in which the connections were opened.
const latencyStep = time.Millisecond

// tapped records the drpc messages on a connection of an entry to an agent.
type tapped struct {
	net.Conn
	recorder *Recorder
	// latency is the time that each answer is on its way.
	latency time.Duration

	mu sync.Mutex
	// called is the path of the method that was called last.
	called   string
	up, down packets
}

// Write implements net.Conn.
func (t *tapped) Write(data []byte) (int, error) {
	t.note(&t.up, data, true)

	return t.Conn.Write(data)
}

// Read implements net.Conn.
func (t *tapped) Read(data []byte) (int, error) {
	count, err := t.Conn.Read(data)
	time.Sleep(t.latency)
	t.note(&t.down, data[:count], false)

	return count, err
}

func (t *tapped) note(stream *packets, data []byte, up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, packet := range stream.add(data) {
		switch packet.Kind {
		case drpcwire.KindInvoke:
			t.called = string(packet.Data)
		case drpcwire.KindMessage:
			t.message(packet.Data, up)
		default:
		}
	}
}

func (t *tapped) message(data []byte, up bool) {
	called, ok := methods[t.called]
	if !ok {
		return
	}

	from, to, made := "entry", "agent", called.up()
	if !up {
		from, to, made = "agent", "entry", called.down()
	}

	if err := proto.Unmarshal(data, made); err != nil {
		t.recorder.Note(from, to, err.Error())
		return
	}

	name := t.called[strings.LastIndex(t.called, "/")+1:]
	t.recorder.Note(from, to, name+" "+jsonOf(made))
}

// jsonOf renders a message without the white space that protojson varies from run to run.
func jsonOf(from proto.Message) string {
	var compact bytes.Buffer

	data, err := protojson.Marshal(from)
	if err == nil {
		err = json.Compact(&compact, data)
	}

	if err != nil {
		return err.Error()
	}

	return compact.String()
}

// packets puts the packets of one direction together.
type packets struct {
	rest []byte
	// partial is the data of the packet whose last frame has not arrived.
	partial []byte
}

func (p *packets) add(data []byte) []drpcwire.Packet {
	var whole []drpcwire.Packet

	p.rest = append(p.rest, data...)

	for {
		rest, frame, ok, err := drpcwire.ParseFrame(p.rest)
		if !ok || err != nil {
			return whole
		}

		p.rest = rest
		p.partial = append(p.partial, frame.Data...)

		if frame.Done {
			whole = append(whole, drpcwire.Packet{Data: p.partial, ID: frame.ID, Kind: frame.Kind})
			p.partial = nil
		}
	}
}
