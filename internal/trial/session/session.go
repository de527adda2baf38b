package session

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	agent "github.com/chestnutbeam/chestnutbeam/internal/agent/server"
	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	entry "github.com/chestnutbeam/chestnutbeam/internal/entry/server"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/program/compose"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/order"
	vmlist "github.com/chestnutbeam/chestnutbeam/internal/standin/vms"
)

const (
	// Secret is the caller's key, whose id is KeyID.
	Secret = "cb-session-key"
	// KeyID is the id of the caller's key.
	KeyID = "key-session"
	// OperatorToken is the token of the only operator.
	OperatorToken = "session-operator"

	domain       = "a"
	entryAddress = "entry"
	callAddress  = "calls"
	agentAddress = "agent"
	// tokenTime is the interval between the events of a response. It is long enough that their order in the record is always
	// the same.
	tokenTime = time.Second
)

// Session is one entry and one agent with a caller, for use in virtual time. The exported fields are set before Start,
// except Recorder and Engine.
type Session struct {
	// Recorder holds the record of the session.
	Recorder Recorder
	// Fleet is the content of the fleet file, which must define Account.
	Fleet string
	// Account is the client account of the key.
	Account string
	// Service is the name of the agent's service; empty if the agent's backend server is a model engine.
	Service string
	// Model is the base model of the engine.
	Model string

	// Engine is the model engine, set by Start; nil if Service is set.
	Engine *standin.Server

	// connections is the number of connections that the entry has opened.
	connections atomic.Int64
	network     network
	table       faultyTable
	group       sync.WaitGroup
	entry       process
	agent       process
	platform    compose.Platform
}

// process is a running entry or agent.
type process struct {
	stop context.CancelFunc
	// done receives the result of the process when it ends.
	done chan error
}

// Start commits the fleet file and the key and starts the entry and the agent.
func (s *Session) Start(ctx context.Context) error {
	if err := s.commit(ctx); err != nil {
		return err
	}

	list := &vmlist.Server{}
	list.Put(vms.VM{Name: "vm-entry", Address: entryAddress, Domain: domain, Role: vms.RoleEntry})
	list.Put(vms.VM{Name: "vm-agent", Address: agentAddress, Domain: domain, Role: vms.RoleAgent, Server: "server", Serves: []string{s.capability()}})
	s.platform = compose.Platform{Table: &s.table, VMs: list}
	s.startAgent(ctx)
	s.startEntry(ctx)

	return nil
}

// capability returns the capability that the agent's VM is listed with.
func (s *Session) capability() string {
	if s.Service != "" {
		return "service/" + s.Service
	}

	return "model/" + s.Model
}

func (s *Session) commit(ctx context.Context) error {
	base := document.Empty()

	fleet, err := document.ParseFleet([]byte(s.Fleet))
	if err != nil {
		return err
	}

	edits, err := fleet.Edits(base)
	if err != nil {
		return err
	}

	key := textOf(document.Key{Hash: keys.Hash(Secret), Account: s.Account})
	edits = append(edits, document.Edit{Section: document.SectionKey, Name: KeyID, Value: []byte(key)})
	change := document.Change{Version: 1, ID: "change-session", Author: "session", Reason: "start", Time: time.Now(), Edits: edits}
	_, err = (&store.Store{Table: &s.table}).Commit(ctx, base, change)

	return err
}

func (s *Session) startAgent(ctx context.Context) {
	server := &agent.Server{
		Settings: settings.Agent{Place: settings.Place{VM: "vm-agent", Domain: domain}, Server: "server", Name: s.Service},
		Listener: s.network.listen(agentAddress),
	}

	if s.Service != "" {
		server.Service = &recordingService{Caller: &order.Server{}, recorder: &s.Recorder}
	} else {
		s.Engine = standin.New(standin.Config{Models: []string{s.Model}, TokenTime: tokenTime, Fencing: true})
		server.Engine = &recordingEngine{Engine: s.Engine, recorder: &s.Recorder}
	}

	compose.ConfigureAgent(server, s.platform, s.network.dial)
	s.agent = s.start(ctx, server)
}

func (s *Session) startEntry(ctx context.Context) {
	server := &entry.Server{
		Settings: settings.Entry{
			Place:     settings.Place{VM: "vm-entry", Domain: domain},
			Peer:      entryAddress,
			Operators: []settings.Operator{{Name: "session", Hash: keys.Hash(OperatorToken)}},
		},
		HTTP: s.network.listen(callAddress),
		Peer: s.network.listen(entryAddress),
		Dial: s.dial,
	}

	compose.ConfigureEntry(server, s.platform)
	s.entry = s.start(ctx, server)
}

// dial opens a connection of the entry and records the messages on it.
func (s *Session) dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := s.network.dial(ctx, address)
	if err != nil {
		return nil, err
	}

	latency := time.Duration(s.connections.Add(1)) * latencyStep

	return &recordingConn{Conn: raw, recorder: &s.Recorder, latency: latency}, nil
}

func (s *Session) start(ctx context.Context, server entry.Controller) process {
	ctx, stop := context.WithCancel(ctx)
	running := process{stop: stop, done: make(chan error, 1)}

	s.group.Go(func() { running.done <- server.Run(ctx) })

	return running
}

// BeginTableOutage makes the table unavailable.
func (s *Session) BeginTableOutage() {
	s.Recorder.Record("table", "", "outage begins")
	s.table.unavailable.Store(true)
}

// StopEntry starts a graceful shutdown of the entry.
func (s *Session) StopEntry() {
	s.Recorder.Record("entry", "", "graceful shutdown begins")
	s.entry.stop()
}

// StopAgent starts a graceful shutdown of the agent.
func (s *Session) StopAgent() {
	s.Recorder.Record("agent", "", "graceful shutdown begins")
	s.agent.stop()
}

// AwaitEntry waits until the entry has ended and returns its result.
func (s *Session) AwaitEntry() error {
	return s.await("entry", s.entry)
}

// AwaitAgent waits until the agent has ended and returns its result.
func (s *Session) AwaitAgent() error {
	return s.await("agent", s.agent)
}

func (s *Session) await(name string, p process) error {
	err := <-p.done
	s.Recorder.Record(name, "", "ended: "+resultOf(err))

	return err
}

// Close stops the entry and the agent and waits until they have ended.
func (s *Session) Close() {
	s.entry.stop()
	s.agent.stop()
	s.group.Wait()

	if s.Engine != nil {
		s.Engine.Close()
	}
}

// Call is one HTTP request of a caller or operator.
type Call struct {
	// From is the name of the sender in the record.
	From   string
	Method string
	Path   string
	Body   string
	// Key is the bearer token: a caller's key or an operator's token.
	Key string
	// Idempotency is the idempotency key, or empty.
	Idempotency string
}

// Do sends a request and records it and each line of the response. It calls first, unless nil, when the first line of the
// body has arrived.
func (s *Session) Do(ctx context.Context, call Call, first func()) error {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+callAddress+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}

	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+call.Key)

	if call.Idempotency != "" {
		request.Header.Set("Idempotency-Key", call.Idempotency)
	}

	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return s.network.dial(ctx, callAddress)
	}}

	s.Recorder.Record(call.From, "entry", strings.TrimSpace(call.Method+" "+call.Path+" "+call.Body))

	response, err := transport.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer response.Body.Close() //nolint:errcheck // the response was only read

	return s.recordResponse(call, response, first)
}

func (s *Session) recordResponse(call Call, response *http.Response, first func()) error {
	status := strconv.Itoa(response.StatusCode)

	if after := response.Header.Get("Retry-After"); after != "" {
		status += ", Retry-After " + after
	}

	s.Recorder.Record("entry", call.From, status)

	lines := bufio.NewScanner(response.Body)

	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}

		s.Recorder.Record("entry", call.From, lines.Text())

		if first != nil {
			first()
			first = nil
		}
	}

	return errors.Wrap(lines.Err(), "read response")
}
