package slopes

import (
	"context"
	"net/http"
	"net/http/httptest"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/assign"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/object"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	objectstandin "github.com/chestnutbeam/chestnutbeam/internal/standin/object"
	tablestandin "github.com/chestnutbeam/chestnutbeam/internal/standin/table"
	vmsstandin "github.com/chestnutbeam/chestnutbeam/internal/standin/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// logSizes are numbers of log rows; the largest is the maximum that a new process reads after a snapshot.
var logSizes = []int{1, 10, store.SnapshotEvery}

// endpoint is an HTTP server on loopback for a stand-in, with a client whose bytes are counted.
type endpoint struct {
	server  *httptest.Server
	counter *byteCounter
	client  *http.Client
}

func startEndpoint(handler http.Handler) *endpoint {
	counted := &byteCounter{}

	return &endpoint{server: httptest.NewServer(handler), counter: counted, client: counted.client()}
}

func (e *endpoint) close() {
	e.client.CloseIdleConnections()
	e.server.Close()
}

// measureCall measures the bytes and the CPU time of one call. The time includes that of the stand-in, so that it is an upper
// bound for the caller.
func (e *endpoint) measureCall(r *report, name string, size int, call func()) {
	r.add("bytes."+name, size, e.counter.bytesPerCall(call), Bytes)
	r.add("cpu."+name, size, micros(cpuTime(call)), Microseconds)
}

// polls measures the calls of processes to the platform.
func polls(r *report) {
	tablePolls(r)
	vmPolls(r)
	startupReads(r)
}

func tablePolls(r *report) {
	standin := &tablestandin.Server{}
	tableEndpoint := startEndpoint(standin.Handler())

	defer tableEndpoint.close()

	configStore := &store.Store{Table: &table.Client{URL: tableEndpoint.server.URL, HTTP: tableEndpoint.client}}
	fillLog(&standin.Memory, logSizes[len(logSizes)-1])

	for _, size := range logSizes {
		tableEndpoint.measureCall(r, "poll.head/log-rows", size, func() {
			_, err := configStore.Head(context.Background())
			must(err)
		})

		tableEndpoint.measureCall(r, "poll.log/log-rows", size, func() {
			_, err := configStore.Log(context.Background(), int64(store.SnapshotEvery-size))
			must(err)
		})
	}

	for _, size := range accountSizes {
		limitPolls(r, size)
	}
}

func fillLog(memory *table.Memory, changes int) {
	configStore := &store.Store{Table: memory}
	d := document.Empty()

	first := pinChange(1)
	first.Edits = append([]document.Edit{{Section: document.SectionModel, Name: model(0), Value: []byte(`{"context":32768}`)}}, first.Edits...)

	d, err := configStore.Commit(context.Background(), d, first)
	must(err)

	for range changes - 1 {
		d, err = configStore.Commit(context.Background(), d, pinChange(d.Version+1))
		must(err)
	}
}

// limitPolls measures the poll of the share assignments by an entry, without a change and with one changed assignment.
func limitPolls(r *report, accounts int) {
	standin := &tablestandin.Server{}
	tableEndpoint := startEndpoint(standin.Handler())

	defer tableEndpoint.close()

	shared := &board.Board{}
	shared.Document.Set(sampleDocument(documentSize{accounts: accounts}))
	shared.VMs.Set(vmList(designEntries, designServers))

	for n := range accounts {
		commitShares(&standin.Memory, account(n))
	}

	commitShares(&standin.Memory, "weights")

	self := shareAssignment(account(0)).Holders[0]
	poller := &assign.Controller{
		Board: shared, Table: &table.Client{URL: tableEndpoint.server.URL, HTTP: tableEndpoint.client}, Self: self,
		Holder:      &holder.Holder{Board: shared, Boot: self.Boot},
		FetchBootID: func(context.Context, string) (string, error) { return "", context.DeadlineExceeded },
	}

	tableEndpoint.measureCall(r, "poll.limits.unchanged/accounts", accounts, func() { must(poller.Reconcile(context.Background())) })

	tableEndpoint.measureCall(r, "poll.limits.changed/accounts", accounts, func() {
		commitShares(&standin.Memory, account(0))
		must(poller.Reconcile(context.Background()))
	})

	agent := &assign.Controller{Board: shared, Table: poller.Table, Accounts: []string{"weights"}}
	tableEndpoint.measureCall(r, "poll.weights/accounts", accounts, func() { must(agent.Reconcile(context.Background())) })
}

func commitShares(memory *table.Memory, name string) {
	_, err := memory.Commit(context.Background(), table.Txn{Puts: []table.Put{
		{Key: "limit/" + name, Value: encode(shareAssignment(name))}, {Key: "limits/head", Value: []byte("{}")},
	}})
	must(err)
}

// vmPolls measures polls of the VM list.
func vmPolls(r *report) {
	for n, entries := range entrySizes {
		servers := serverSizes[n]
		standin := &vmsstandin.Server{}

		for _, vm := range vmList(entries, servers).VMs {
			standin.Put(vm)
		}

		vmEndpoint := startEndpoint(standin.Handler())
		lister := &vms.Client{URL: vmEndpoint.server.URL, HTTP: vmEndpoint.client}
		read := func() {
			_, err := lister.List(context.Background())
			must(err)
		}

		vmEndpoint.measureCall(r, "poll.vms.unchanged/vms", entries+servers, read)

		vmEndpoint.measureCall(r, "poll.vms.changed/vms", entries+servers, func() {
			standin.Put(agentVM(0))
			read()
		})

		vmEndpoint.close()
	}
}

// startupReads measures the reads of a new process: the newest snapshot and the log after it.
func startupReads(r *report) {
	for _, size := range adapterSizes {
		tables, objects := &tablestandin.Server{}, &objectstandin.Server{}
		tableEndpoint, objectEndpoint := startEndpoint(tables.Handler()), startEndpoint(objects.Handler())
		configStore := &store.Store{
			Table:   &table.Client{URL: tableEndpoint.server.URL, HTTP: tableEndpoint.client},
			Objects: &object.Client{URL: objectEndpoint.server.URL, HTTP: objectEndpoint.client},
		}

		d := sampleDocument(documentSize{adapters: size, accounts: 50, keys: 500})
		must(configStore.WriteSnapshot(context.Background(), d))

		read := func() {
			_, err := configStore.Latest(context.Background())
			must(err)
		}

		r.add("bytes.start.table/adapters", size, tableEndpoint.counter.bytesPerCall(read), Bytes)
		r.add("bytes.start.objects/adapters", size, objectEndpoint.counter.bytesPerCall(read), Bytes)
		r.add("cpu.start/adapters", size, micros(cpuTime(read))/1000, Milliseconds)

		tableEndpoint.close()
		objectEndpoint.close()
	}
}
