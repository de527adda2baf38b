package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"net/url"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Row is the table row order/<account>/<idempotency key>: the claim of the key, and the outcome once it is known.
type Row struct {
	// Hash identifies the request; a call with the same key and another hash is refused.
	Hash string `json:"hash"`
	// Attempt is the only attempt that may run while the row has this version.
	Attempt string `json:"attempt"`
	// Server, Address and Boot identify the agent process to which the attempt is sent.
	Server  string `json:"server"`
	Address string `json:"address"`
	Boot    string `json:"boot"`
	// Outcome is nil until the attempt has completed.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the response of the plain service.
type Outcome struct {
	Status  int32    `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Header is one header field of the response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func (r *Row) agentProcess() relay.AgentProcess {
	return relay.AgentProcess{Server: r.Server, Address: r.Address, Boot: r.Boot}
}

func rowKey(account, key string) string {
	return "order/" + url.PathEscape(account) + "/" + url.PathEscape(key)
}

// hashCall returns a hash of everything that is sent to the plain service. Each part is preceded by its length, so that
// different calls never hash the same bytes.
func hashCall(call *rpc.Call) string {
	hash := sha256.New()

	add := func(part []byte) {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write(part)
	}

	add([]byte(call.Service))
	add([]byte(call.Method))
	add([]byte(call.Path))
	add([]byte(call.Query))
	add(call.Body)

	for _, header := range call.Headers {
		add([]byte(header.Name))
		add([]byte(header.Value))
	}

	return hex.EncodeToString(hash.Sum(nil))
}

func decodeRow(from table.Row) (*Row, error) {
	var row Row

	if err := json.Unmarshal(from.Value, &row); err != nil {
		return nil, fault.Wrap(err, fault.OutcomeUnknown, "the claim of the idempotency key cannot be decoded")
	}

	return &row, nil
}

func newOutcome(done *rpc.Done) *Outcome {
	outcome := &Outcome{Status: done.Status, Body: done.Body}

	for _, header := range done.Headers {
		outcome.Headers = append(outcome.Headers, Header{Name: header.Name, Value: header.Value})
	}

	return outcome
}

func (o *Outcome) toDone() *rpc.Done {
	done := &rpc.Done{Status: o.Status, Body: o.Body}

	for _, header := range o.Headers {
		done.Headers = append(done.Headers, &rpc.Header{Name: header.Name, Value: header.Value})
	}

	return done
}
