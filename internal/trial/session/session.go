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
	// Secret is the caller's key, of the id KeyID.
	Secret = "cb-session-key"
	// KeyID is the id of the caller's key.
	KeyID = "key-session"
	// OperatorToken is the token of the only operator.
	OperatorToken = "session-operator"

	domain       = "a"
	entryAddress = "entry"
	callAddress  = "calls"
	agentAddress = "agent"
	// tokenTime separates the events of an answer, so that their order in the record is always the same.
	tokenTime = time.Second
)

// Session is one entry and one agent with a caller. The exported fields are set before Start. It is meant for virtual time.
type Session struct {
	Recorder Recorder
	// Fleet is the fleet file, which has the account of the key.
	Fleet string
	// Account is the client account of the key.
	Account string
	// Service is the name of the plain service beside the agent; empty for a model engine.
	Service string
	// Model is the base model of the engine.
	Model string

	// Engine is the model engine; nil with a plain service.
	Engine *standin.Server

	// opened counts the connections of the entry.
	opened   atomic.Int64
	network  network
	table    outage
	group    sync.WaitGroup
	entry    process
	agent    process
	platform compose.Platform
}

// process is a running process.
type process struct {
	stop context.CancelFunc
	done chan error
}

// Start commits the fleet file and the key, and starts the processes.
func (s *Session) Start(ctx context.Context) error {
	if err := s.commit(ctx); err != nil {
		return err
	}

	list := &vmlist.Server{}
	list.Put(vms.VM{Name: "vm-entry", Address: entryAddress, Domain: domain, Role: vms.RoleEntry})
	list.Put(vms.VM{Name: "vm-agent", Address: agentAddress, Domain: domain, Role: vms.RoleAgent, Server: "server", Serves: []string{s.serves()}})
	s.platform = compose.Platform{Table: &s.table, VMs: list}
	s.startAgent(ctx)
	s.startEntry(ctx)

	return nil
}

func (s *Session) serves() string {
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
		server.Service = &tappedService{Caller: &order.Server{}, recorder: &s.Recorder}
	} else {
		s.Engine = standin.New(standin.Config{Models: []string{s.Model}, TokenTime: tokenTime, Fencing: true})
		server.Engine = &tappedEngine{Engine: s.Engine, recorder: &s.Recorder}
	}

	compose.ConfigureAgent(server, s.platform, s.network.dial)
	s.agent = s.run(ctx, server)
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
	s.entry = s.run(ctx, server)
}

// dial connects the entry and records what it says to the agent.
func (s *Session) dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := s.network.dial(ctx, address)
	if err != nil {
		return nil, err
	}

	latency := time.Duration(s.opened.Add(1)) * latencyStep

	return &tapped{Conn: raw, recorder: &s.Recorder, latency: latency}, nil
}

func (s *Session) run(ctx context.Context, server entry.Controller) process {
	ctx, stop := context.WithCancel(ctx)
	running := process{stop: stop, done: make(chan error, 1)}

	s.group.Go(func() { running.done <- server.Run(ctx) })

	return running
}

// TableDown begins an outage of the table.
func (s *Session) TableDown() {
	s.Recorder.Note("table", "", "outage begins")
	s.table.down.Store(true)
}

// StopEntry begins a graceful shutdown of the entry.
func (s *Session) StopEntry() {
	s.Recorder.Note("entry", "", "graceful shutdown begins")
	s.entry.stop()
}

// StopAgent begins a graceful shutdown of the agent.
func (s *Session) StopAgent() {
	s.Recorder.Note("agent", "", "graceful shutdown begins")
	s.agent.stop()
}

// EntryEnded waits for the end of the entry.
func (s *Session) EntryEnded() error {
	return s.ended("entry", s.entry)
}

// AgentEnded waits for the end of the agent.
func (s *Session) AgentEnded() error {
	return s.ended("agent", s.agent)
}

func (s *Session) ended(name string, from process) error {
	err := <-from.done
	s.Recorder.Note(name, "", "ended: "+resultOf(err))

	return err
}

// Close ends both processes and waits for them.
func (s *Session) Close() {
	s.entry.stop()
	s.agent.stop()
	s.group.Wait()

	if s.Engine != nil {
		s.Engine.Close()
	}
}

// Call is one HTTP call of a caller or operator.
type Call struct {
	// From names who calls, in the record.
	From   string
	Method string
	Path   string
	Body   string
	Key    string
	// Idempotency is the idempotency key; may be empty.
	Idempotency string
}

// Do sends a call and records it with its answer, line by line. First is called when the first line has arrived; may be nil.
func (s *Session) Do(ctx context.Context, call Call, first func()) error {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+callAddress+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return errors.Wrap(err, "build call")
	}

	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+call.Key)

	if call.Idempotency != "" {
		request.Header.Set("Idempotency-Key", call.Idempotency)
	}

	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return s.network.dial(ctx, callAddress)
	}}

	s.Recorder.Note(call.From, "entry", strings.TrimSpace(call.Method+" "+call.Path+" "+call.Body))

	response, err := transport.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer response.Body.Close() //nolint:errcheck // it was only read

	return s.read(call, response, first)
}

func (s *Session) read(call Call, response *http.Response, first func()) error {
	status := strconv.Itoa(response.StatusCode)

	if after := response.Header.Get("Retry-After"); after != "" {
		status += ", Retry-After " + after
	}

	s.Recorder.Note("entry", call.From, status)

	lines := bufio.NewScanner(response.Body)

	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}

		s.Recorder.Note("entry", call.From, lines.Text())

		if first != nil {
			first()
			first = nil
		}
	}

	return errors.Wrap(lines.Err(), "read answer")
}
