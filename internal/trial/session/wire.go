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

// method creates empty messages of one drpc method: up is sent by the entry, down by the agent.
type method struct {
	up, down func() proto.Message
}

// methods are the methods that an entry calls at an agent, by path. Calls of other methods are not recorded.
var methods = map[string]method{
	"/chestnutbeam.rpc.Agent/Hello": {newMessage[rpc.HelloRequest], newMessage[rpc.HelloReply]},
	"/chestnutbeam.rpc.Agent/Query": {newMessage[rpc.QueryRequest], newMessage[rpc.QueryReply]},
	"/chestnutbeam.rpc.Agent/Run":   {newMessage[rpc.RunUp], newMessage[rpc.RunDown]},
}

func newMessage[T any, P interface {
	*T
	proto.Message
}]() proto.Message {
	return P(new(T))
}

// latencyStep is the difference between the latencies of two successive connections. With it, responses that are sent at the
// same time on several connections arrive in the order in which the connections were opened.
const latencyStep = time.Millisecond

// recordingConn records the drpc messages on a connection from an entry to an agent.
type recordingConn struct {
	net.Conn
	recorder *Recorder
	// latency is added to each read.
	latency time.Duration

	mu sync.Mutex
	// lastMethod is the path of the method that was called last.
	lastMethod string
	up, down   packetAssembler
}

// Write implements net.Conn.
func (t *recordingConn) Write(data []byte) (int, error) {
	t.recordPackets(&t.up, data, true)

	return t.Conn.Write(data)
}

// Read implements net.Conn.
func (t *recordingConn) Read(data []byte) (int, error) {
	count, err := t.Conn.Read(data)
	time.Sleep(t.latency)
	t.recordPackets(&t.down, data[:count], false)

	return count, err
}

func (t *recordingConn) recordPackets(stream *packetAssembler, data []byte, up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, packet := range stream.add(data) {
		switch packet.Kind {
		case drpcwire.KindInvoke:
			t.lastMethod = string(packet.Data)
		case drpcwire.KindMessage:
			t.recordMessage(packet.Data, up)
		default:
		}
	}
}

func (t *recordingConn) recordMessage(data []byte, up bool) {
	called, ok := methods[t.lastMethod]
	if !ok {
		return
	}

	from, to, decoded := "entry", "agent", called.up()
	if !up {
		from, to, decoded = "agent", "entry", called.down()
	}

	if err := proto.Unmarshal(data, decoded); err != nil {
		t.recorder.Record(from, to, err.Error())
		return
	}

	name := t.lastMethod[strings.LastIndex(t.lastMethod, "/")+1:]
	t.recorder.Record(from, to, name+" "+jsonOf(decoded))
}

// jsonOf renders a message without the white space that protojson varies from run to run.
func jsonOf(message proto.Message) string {
	var compact bytes.Buffer

	data, err := protojson.Marshal(message)
	if err == nil {
		err = json.Compact(&compact, data)
	}

	if err != nil {
		return err.Error()
	}

	return compact.String()
}

// packetAssembler assembles the drpc packets of one direction from their frames.
type packetAssembler struct {
	// rest is the data after the last complete frame.
	rest []byte
	// partial is the data of the packet whose last frame has not arrived.
	partial []byte
}

// add appends received data and returns the packets that are complete with it.
func (p *packetAssembler) add(data []byte) []drpcwire.Packet {
	var packets []drpcwire.Packet

	p.rest = append(p.rest, data...)

	for {
		rest, frame, ok, err := drpcwire.ParseFrame(p.rest)
		if !ok || err != nil {
			return packets
		}

		p.rest = rest
		p.partial = append(p.partial, frame.Data...)

		if frame.Done {
			packets = append(packets, drpcwire.Packet{Data: p.partial, ID: frame.ID, Kind: frame.Kind})
			p.partial = nil
		}
	}
}
