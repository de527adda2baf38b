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
	// concurrency is the number of concurrent requests while CPU time is measured.
	concurrency = 16
	// startTimeout bounds the time until the first successful request after a start.
	startTimeout = 20 * time.Second
	// promptBytes is the length of a prompt.
	promptBytes = 2000
)

var (
	// tokenSizes includes 375, the mean at the design load of 1.5 million tokens a second in 4,000 requests.
	tokenSizes   = []int{16, 94, 375, 1500}
	runningSizes = []int{10, 100, 1000}
)

// serverPair is an entry and an agent that run the production code in this process, connected over loopback.
type serverPair struct {
	engine       *instantEngine
	board        *board.Board
	agentAddress string
	entryURL     string
	counter      *byteCounter
	client       *http.Client
	pool         *conn.Pool
	stop         context.CancelFunc
	running      sync.WaitGroup
	requestCount int
	mu           sync.Mutex
}

// startServerPair starts an entry and an agent that read the document from a table.
func startServerPair(d *document.Document, engine *instantEngine) *serverPair {
	ctx, stop := context.WithCancel(context.Background())
	p := &serverPair{engine: engine, board: &board.Board{}, counter: &byteCounter{}, stop: stop}
	p.client = (&byteCounter{}).client()
	p.client.Transport.(*http.Transport).MaxIdleConnsPerHost = runningSizes[len(runningSizes)-1]
	p.pool = conn.New(p.counter.dial)

	tables := &table.Memory{}
	commitDocument(tables, d)

	vmsServer := &vmsstandin.Server{}
	peerListener, httpListener, agentListener := listen(), listen(), listen()
	p.agentAddress, p.entryURL = agentListener.Addr().String(), "http://"+httpListener.Addr().String()

	vm := agentVM(0)
	vm.Address = p.agentAddress
	vmsServer.Put(vm)

	entryHost := entryVM(0)
	entryHost.Address = peerListener.Addr().String()
	vmsServer.Put(entryHost)

	platform := compose.Platform{Table: tables, VMs: vmsServer}

	p.startAgent(ctx, platform, vm, agentListener)
	p.startEntry(ctx, platform, entryHost, peerListener, httpListener)
	p.waitReady()

	return p
}

// commitDocument commits a document as one change. It bypasses the size limit of changes.
func commitDocument(tables *table.Memory, d *document.Document) {
	edits, err := document.Diff(document.Empty(), d)
	must(err)

	change := pinChange(1)
	change.Edits = edits
	head := []byte(`{"version":1,"change":"` + change.ID + `"}`)

	_, err = tables.Commit(context.Background(), table.Txn{Puts: []table.Put{
		{Key: "config/head", Value: head}, {Key: "config/log/000000000001", Value: encode(change)},
	}})
	must(err)
}

func (p *serverPair) startAgent(ctx context.Context, platform compose.Platform, vm vms.VM, listener net.Listener) {
	server := &agent.Server{
		Settings: settings.Agent{Place: settings.Place{VM: vm.Name, Domain: vm.Domain, Region: vm.Region}, Server: vm.Server},
		Engine:   p.engine,
		Listener: listener,
		Board:    p.board,
	}

	compose.ConfigureAgent(server, platform, nil)
	p.running.Go(func() { must(server.Run(ctx)) })
}

func (p *serverPair) startEntry(ctx context.Context, platform compose.Platform, vm vms.VM, peer, httpListener net.Listener) {
	server := &entry.Server{
		Settings: settings.Entry{Place: settings.Place{VM: vm.Name, Domain: vm.Domain, Region: vm.Region}, Peer: vm.Address},
		HTTP:     httpListener,
		Peer:     peer,
		Dial:     p.counter.dial,
	}

	compose.ConfigureEntry(server, platform)
	p.running.Go(func() { must(server.Run(ctx)) })
}

// waitReady sends requests until one succeeds.
func (p *serverPair) waitReady() {
	started := time.Now()

	for {
		err := p.sendRequest(1)
		if err == nil {
			return
		}

		if time.Since(started) > startTimeout {
			panic(err)
		}

		time.Sleep(50 * time.Millisecond)
	}
}

func (p *serverPair) close() {
	p.stop()
	p.running.Wait()
	p.client.CloseIdleConnections()
	_ = p.pool.Close()
}

func requestBody(tokens int) []byte {
	prompt := bytes.Repeat([]byte("seven "), promptBytes/len(tokenText))

	return fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`, adapter(0), tokens, prompt)
}

// openStream sends a streaming request and returns the status and the body of the response.
func (p *serverPair) openStream(tokens int) (int, io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, p.entryURL+"/v1/chat/completions", bytes.NewReader(requestBody(tokens)))
	if err != nil {
		return 0, nil, err
	}

	request.Header.Set("Authorization", "Bearer "+apiKey(0))
	request.Header.Set("Content-Type", "application/json")

	response, err := p.client.Do(request)
	if err != nil {
		return 0, nil, err
	}

	return response.StatusCode, response.Body, nil
}

func (p *serverPair) sendRequest(tokens int) error {
	status, responseBody, err := p.openStream(tokens)
	if err != nil {
		return err
	}

	data, err := io.ReadAll(responseBody)
	_ = responseBody.Close()

	if err != nil {
		return err
	}

	if status != http.StatusOK || !bytes.Contains(data, []byte("[DONE]")) {
		return fmt.Errorf("status %d: %.300s", status, data)
	}

	return nil
}

// getSize reads a resource from the entry and returns its size.
func (p *serverPair) getSize(path string) int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, p.entryURL+path, http.NoBody)
	must(err)
	request.Header.Set("Authorization", "Bearer "+apiKey(0))

	response, err := p.client.Do(request)
	must(err)

	data, err := io.ReadAll(response.Body)
	must(err)
	must(response.Body.Close())

	return len(data)
}

// runAtAgent runs a request at the agent without an entry.
func (p *serverPair) runAtAgent(tokens int) {
	client := rpc.NewDRPCAgentClient(p.pool.Get(p.agentAddress))

	hello, err := client.Hello(context.Background(), &rpc.HelloRequest{RequestId: "hello", Entry: "direct"})
	must(err)

	stream, err := client.Run(context.Background())
	must(err)

	p.mu.Lock()
	p.requestCount++
	id := fmt.Sprintf("request-%016d", p.requestCount)
	p.mu.Unlock()

	must(stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: &rpc.RunRequest{
		RequestId: id, Entry: "direct", Boot: hello.Boot, Ticket: hello.Ticket.Id, Account: account(0), Key: "key-0",
		ConfigVersion: 1, RemainingMs: 30_000, Cost: int64(tokens), Route: "chat",
		Work: &rpc.RunRequest_Generate{Generate: &rpc.Generate{
			Model: model(0), Adapter: adapter(0), Version: "v2", Prompt: string(bytes.Repeat([]byte("seven "), promptBytes/len(tokenText))),
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
			panic(fmt.Sprint("unexpected message from the agent: ", down))
		}
	}
}

// cpuMicrosPerRequest returns the CPU time of one of several concurrent requests in microseconds.
func cpuMicrosPerRequest(call func()) float64 {
	return micros(cpuTime(func() {
		var group sync.WaitGroup

		for range concurrency {
			group.Go(call)
		}

		group.Wait()
	})) / concurrency
}

// requests measures whole requests through the production entry and agent. The CPU time of the entry is the difference between
// a whole request and one at the agent only; it includes the HTTP client, so that it is an upper bound. The CPU time of the
// agent includes the drpc client.
func requests(r *report) {
	p := startServerPair(sampleDocument(documentSize{adapters: 400, accounts: 5, keys: 50}), &instantEngine{})

	for _, size := range tokenSizes {
		whole := cpuMicrosPerRequest(func() { must(p.sendRequest(size)) })
		agentOnly := cpuMicrosPerRequest(func() { p.runAtAgent(size) })

		r.add("cpu.request.whole/tokens", size, whole, Microseconds)
		r.add("cpu.request.agent/tokens", size, agentOnly, Microseconds)
		r.add("cpu.request.entry/tokens", size, max(whole-agentOnly, 0), Microseconds)
	}

	client := rpc.NewDRPCAgentClient(p.pool.Get(p.agentAddress))
	hello := func() {
		_, err := client.Hello(context.Background(), &rpc.HelloRequest{RequestId: fmt.Sprintf("hello-%016d", 1), Entry: entryVM(1).Name})
		must(err)
	}

	r.add("bytes.hello/agents", 1, p.counter.bytesPerCall(hello), Bytes)
	r.add("cpu.hello/agents", 1, micros(cpuTime(hello)), Microseconds)
	p.close()

	for _, size := range adapterSizes {
		requestsByDocumentSize(r, size)
	}

	runningRequests(r)
}

// requestsByDocumentSize measures requests and the list of models with a document of a number of adapters.
func requestsByDocumentSize(r *report, adapters int) {
	p := startServerPair(sampleDocument(documentSize{adapters: adapters, accounts: 50, keys: 500}), &instantEngine{})
	defer p.close()

	r.add("cpu.request.whole.94-tokens/adapters", adapters, cpuMicrosPerRequest(func() { must(p.sendRequest(94)) }), Microseconds)
	r.add("bytes.models/adapters", adapters, float64(p.getSize("/v1/models")), Bytes)
	r.add("cpu.models/adapters", adapters, micros(cpuTime(func() { p.getSize("/v1/models") }))/1000, Milliseconds)
}

// runningRequests measures the live heap and the stacks of requests with open response streams, including those of the client.
func runningRequests(r *report) {
	for _, size := range runningSizes {
		release := make(chan struct{})
		d := sampleDocument(documentSize{adapters: 400, accounts: 5, keys: 50})
		d.Default.Limit = 2 * size
		d.Default.Ramp = 2 * size
		p := startServerPair(d, &instantEngine{release: nil})
		p.engine.release = release

		before := heapBytes() + stackBytes()
		responseBodies := make([]io.ReadCloser, 0, size)

		for range size {
			_, responseBody, err := p.openStream(64)
			must(err)

			responseBodies = append(responseBodies, responseBody)
		}

		r.add("memory.requests/running", size, heapBytes()+stackBytes()-before, Bytes)
		close(release)

		for _, responseBody := range responseBodies {
			_, err := io.Copy(io.Discard, responseBody)
			must(err)
			must(responseBody.Close())
		}

		p.close()
	}
}

func stackBytes() float64 {
	var stats runtime.MemStats

	runtime.ReadMemStats(&stats)

	return float64(stats.StackInuse)
}
