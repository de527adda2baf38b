package slopes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	agent "github.com/chestnutbeam/chestnutbeam/internal/agent/server"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	entry "github.com/chestnutbeam/chestnutbeam/internal/entry/server"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/program/compose"
	vmsstandin "github.com/chestnutbeam/chestnutbeam/internal/standin/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// parallel is the number of requests at once while processor time is measured.
	parallel = 16
	// startTime bounds the start of the pair.
	startTime = 20 * time.Second
	// promptBytes is the length of a prompt.
	promptBytes = 2000
)

var (
	// tokenSizes has the mean of the size to design for: 1.5 million tokens a second in 4,000 requests.
	tokenSizes   = []int{16, 94, 375, 1500}
	runningSizes = []int{10, 100, 1000}
)

// pair is one entry and one agent with the real code in this process, connected over loopback.
type pair struct {
	engine  *instant
	board   *board.Board
	address string
	url     string
	counter *counter
	client  *http.Client
	pool    *conn.Pool
	stop    context.CancelFunc
	ended   sync.WaitGroup
	next    int
	mu      sync.Mutex
}

// startPair starts an entry and an agent on a document that has been read from a table.
func startPair(d *document.Document, engine *instant) *pair {
	ctx, stop := context.WithCancel(context.Background())
	p := &pair{engine: engine, board: &board.Board{}, counter: &counter{}, stop: stop}
	p.client = (&counter{}).client()
	p.client.Transport.(*http.Transport).MaxIdleConnsPerHost = runningSizes[len(runningSizes)-1]
	p.pool = conn.New(p.counter.dial)

	tables := &table.Memory{}
	fillDocument(tables, d)

	lister := &vmsstandin.Server{}
	peer, caller, agents := listen(), listen(), listen()
	p.address, p.url = agents.Addr().String(), "http://"+caller.Addr().String()

	vm := agentVM(0)
	vm.Address = p.address
	lister.Put(vm)

	self := entryVM(0)
	self.Address = peer.Addr().String()
	lister.Put(self)

	platform := compose.Platform{Table: tables, VMs: lister}

	p.startAgent(ctx, platform, vm, agents)
	p.startEntry(ctx, platform, self, peer, caller)
	p.await()

	return p
}

// fillDocument commits a document as one change, which the size limit of changes does not bound here.
func fillDocument(tables *table.Memory, d *document.Document) {
	edits, err := document.Diff(document.Empty(), d)
	must(err)

	change := oneChange(1)
	change.Edits = edits
	head := []byte(`{"version":1,"change":"` + change.ID + `"}`)

	_, err = tables.Commit(context.Background(), table.Txn{Puts: []table.Put{
		{Key: "config/head", Value: head}, {Key: "config/log/000000000001", Value: encode(change)},
	}})
	must(err)
}

func (p *pair) startAgent(ctx context.Context, platform compose.Platform, vm vms.VM, listener net.Listener) {
	server := &agent.Server{
		Settings: settings.Agent{Place: settings.Place{VM: vm.Name, Domain: vm.Domain, Region: vm.Region}, Server: vm.Server},
		Engine:   p.engine,
		Listener: listener,
		Board:    p.board,
	}

	compose.ConfigureAgent(server, platform, nil)
	p.ended.Go(func() { must(server.Run(ctx)) })
}

func (p *pair) startEntry(ctx context.Context, platform compose.Platform, vm vms.VM, peer, caller net.Listener) {
	server := &entry.Server{
		Settings: settings.Entry{Place: settings.Place{VM: vm.Name, Domain: vm.Domain, Region: vm.Region}, Peer: vm.Address},
		HTTP:     caller,
		Peer:     peer,
		Dial:     p.counter.dial,
	}

	compose.ConfigureEntry(server, platform)
	p.ended.Go(func() { must(server.Run(ctx)) })
}

// await sends requests until one succeeds.
func (p *pair) await() {
	began := time.Now()

	for {
		err := p.tryHTTP(1)
		if err == nil {
			return
		}

		if time.Since(began) > startTime {
			panic(err)
		}

		time.Sleep(50 * time.Millisecond)
	}
}

func (p *pair) close() {
	p.stop()
	p.ended.Wait()
	p.client.CloseIdleConnections()
	_ = p.pool.Close()
}

func body(tokens int) []byte {
	prompt := bytes.Repeat([]byte("seven "), promptBytes/len(word))

	return fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`, adapter(0), tokens, prompt)
}

// open sends a streaming request and returns the status and the body of the answer.
func (p *pair) open(tokens int) (int, io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, p.url+"/v1/chat/completions", bytes.NewReader(body(tokens)))
	if err != nil {
		return 0, nil, err
	}

	request.Header.Set("Authorization", "Bearer "+key(0))
	request.Header.Set("Content-Type", "application/json")

	response, err := p.client.Do(request)
	if err != nil {
		return 0, nil, err
	}

	return response.StatusCode, response.Body, nil
}

func (p *pair) tryHTTP(tokens int) error {
	status, answer, err := p.open(tokens)
	if err != nil {
		return err
	}

	data, err := io.ReadAll(answer)
	_ = answer.Close()

	if err != nil {
		return err
	}

	if status != http.StatusOK || !bytes.Contains(data, []byte("[DONE]")) {
		return fmt.Errorf("status %d: %.300s", status, data)
	}

	return nil
}

// get reads a resource from the entry and returns its size.
func (p *pair) get(path string) int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, p.url+path, http.NoBody)
	must(err)
	request.Header.Set("Authorization", "Bearer "+key(0))

	response, err := p.client.Do(request)
	must(err)

	data, err := io.ReadAll(response.Body)
	must(err)
	must(response.Body.Close())

	return len(data)
}

// direct runs a request at the agent without an entry.
func (p *pair) direct(tokens int) {
	client := rpc.NewDRPCAgentClient(p.pool.Get(p.address))

	hello, err := client.Hello(context.Background(), &rpc.HelloRequest{RequestId: "hello", Entry: "direct"})
	must(err)

	stream, err := client.Run(context.Background())
	must(err)

	p.mu.Lock()
	p.next++
	id := fmt.Sprintf("request-%016d", p.next)
	p.mu.Unlock()

	must(stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: &rpc.RunRequest{
		RequestId: id, Entry: "direct", Boot: hello.Boot, Ticket: hello.Ticket.Id, Account: account(0), Key: "key-0",
		ConfigVersion: 1, RemainingMs: 30_000, Cost: int64(tokens), Route: "chat",
		Work: &rpc.RunRequest_Generate{Generate: &rpc.Generate{
			Model: model(0), Adapter: adapter(0), Version: "v2", Prompt: string(bytes.Repeat([]byte("seven "), promptBytes/len(word))),
			MaxTokens: int64(tokens), PromptTokens: 500,
		}},
	}}}))

	for {
		down, err := stream.Recv()
		must(err)

		if _, done := down.Body.(*rpc.RunDown_Done); done {
			must(stream.Close())
			return
		}

		if _, chunk := down.Body.(*rpc.RunDown_Chunk); !chunk && down.GetStarted() == nil {
			panic(fmt.Sprint("the agent answered ", down))
		}
	}
}

// perRequest returns the processor time of one request in microseconds, with several at once.
func perRequest(call func()) float64 {
	return micros(cost(func() {
		var group sync.WaitGroup

		for range parallel {
			group.Go(call)
		}

		group.Wait()
	})) / parallel
}

// requests measures whole requests over the real entry and agent. What the entry spends is the difference between the
// whole and the agent alone; it includes the HTTP client of the caller, so that it is an upper bound. What the agent
// spends includes the drpc client of its caller.
func requests(r *report) {
	p := startPair(sample(scale{adapters: 400, accounts: 5, keys: 50}), &instant{})

	for _, size := range tokenSizes {
		whole := perRequest(func() { must(p.tryHTTP(size)) })
		alone := perRequest(func() { p.direct(size) })

		r.add("cpu.request.whole/tokens", size, whole, Microseconds)
		r.add("cpu.request.agent/tokens", size, alone, Microseconds)
		r.add("cpu.request.entry/tokens", size, max(whole-alone, 0), Microseconds)
	}

	client := rpc.NewDRPCAgentClient(p.pool.Get(p.address))
	hello := func() {
		_, err := client.Hello(context.Background(), &rpc.HelloRequest{RequestId: fmt.Sprintf("hello-%016d", 1), Entry: entryVM(1).Name})
		must(err)
	}

	r.add("bytes.hello/agents", 1, p.counter.of(hello), Bytes)
	r.add("cpu.hello/agents", 1, micros(cost(hello)), Microseconds)
	p.close()

	for _, size := range adapterSizes {
		fleetRequests(r, size)
	}

	running(r)
}

// fleetRequests measures requests over documents of several sizes, and the list of models.
func fleetRequests(r *report, adapters int) {
	p := startPair(sample(scale{adapters: adapters, accounts: 50, keys: 500}), &instant{})
	defer p.close()

	r.add("cpu.request.whole.94-tokens/adapters", adapters, perRequest(func() { must(p.tryHTTP(94)) }), Microseconds)
	r.add("bytes.models/adapters", adapters, float64(p.get("/v1/models")), Bytes)
	r.add("cpu.models/adapters", adapters, micros(cost(func() { p.get("/v1/models") }))/1000, Milliseconds)
}

// running measures live heap and stacks of requests whose answers are under way. It includes the caller's side.
func running(r *report) {
	for _, size := range runningSizes {
		hold := make(chan struct{})
		d := sample(scale{adapters: 400, accounts: 5, keys: 50})
		d.Default.Limit = 2 * size
		d.Default.Ramp = 2 * size
		p := startPair(d, &instant{hold: nil})
		p.engine.hold = hold

		before := heap() + stacks()
		answers := make([]io.ReadCloser, 0, size)

		for range size {
			_, answer, err := p.open(64)
			must(err)

			answers = append(answers, answer)
		}

		r.add("memory.requests/running", size, heap()+stacks()-before, Bytes)
		close(hold)

		for _, answer := range answers {
			_, err := io.Copy(io.Discard, answer)
			must(err)
			must(answer.Close())
		}

		p.close()
	}
}

func stacks() float64 {
	var stats runtime.MemStats

	runtime.ReadMemStats(&stats)

	return float64(stats.StackInuse)
}
