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

// logSizes are numbers of log rows; the largest is what a new process reads at most after a snapshot.
var logSizes = []int{1, 10, store.SnapshotEvery}

// endpoint is a stand-in that serves HTTP on loopback, with a client whose bytes are counted.
type endpoint struct {
	server  *httptest.Server
	counter *counter
	client  *http.Client
}

func serve(handler http.Handler) *endpoint {
	counted := &counter{}

	return &endpoint{server: httptest.NewServer(handler), counter: counted, client: counted.client()}
}

func (e *endpoint) close() {
	e.client.CloseIdleConnections()
	e.server.Close()
}

// poll measures bytes and processor time of one repeated call. The time includes the stand-in's, so that it is an upper
// bound of what the caller spends.
func (e *endpoint) poll(r *report, name string, size int, call func()) {
	r.add("bytes."+name, size, e.counter.of(call), Bytes)
	r.add("cpu."+name, size, micros(cost(call)), Microseconds)
}

// polls measures what processes ask of the platform.
func polls(r *report) {
	tablePolls(r)
	listPolls(r)
	startReads(r)
}

func tablePolls(r *report) {
	standin := &tablestandin.Server{}
	served := serve(standin.Handler())

	defer served.close()

	records := &store.Store{Table: &table.Client{URL: served.server.URL, HTTP: served.client}}
	fillLog(&standin.Memory, logSizes[len(logSizes)-1])

	for _, size := range logSizes {
		served.poll(r, "poll.head/log-rows", size, func() {
			_, err := records.Head(context.Background())
			must(err)
		})

		served.poll(r, "poll.log/log-rows", size, func() {
			_, err := records.Log(context.Background(), int64(store.SnapshotEvery-size))
			must(err)
		})
	}

	for _, size := range accountSizes {
		limitPolls(r, size)
	}
}

func fillLog(memory *table.Memory, changes int) {
	records := &store.Store{Table: memory}
	d := document.Empty()

	first := oneChange(1)
	first.Edits = append([]document.Edit{{Section: document.SectionModel, Name: model(0), Value: []byte(`{"context":32768}`)}}, first.Edits...)

	d, err := records.Commit(context.Background(), d, first)
	must(err)

	for range changes - 1 {
		d, err = records.Commit(context.Background(), d, oneChange(d.Version+1))
		must(err)
	}
}

// limitPolls measures the poll of the share assignments by an entry, when none has changed and when one has.
func limitPolls(r *report, accounts int) {
	standin := &tablestandin.Server{}
	served := serve(standin.Handler())

	defer served.close()

	shared := &board.Board{}
	shared.Document.Set(sample(scale{accounts: accounts}))
	shared.VMs.Set(list(fullEntries, fullServers))

	for n := range accounts {
		fillShares(&standin.Memory, account(n))
	}

	fillShares(&standin.Memory, "weights")

	self := shares(account(0)).Holders[0]
	poller := &assign.Controller{
		Board: shared, Table: &table.Client{URL: served.server.URL, HTTP: served.client}, Self: self,
		Holder:      &holder.Holder{Board: shared, Boot: self.Boot},
		FetchBootID: func(context.Context, string) (string, error) { return "", context.DeadlineExceeded },
	}

	served.poll(r, "poll.limits.unchanged/accounts", accounts, func() { must(poller.Reconcile(context.Background())) })

	served.poll(r, "poll.limits.changed/accounts", accounts, func() {
		fillShares(&standin.Memory, account(0))
		must(poller.Reconcile(context.Background()))
	})

	agent := &assign.Controller{Board: shared, Table: poller.Table, Accounts: []string{"weights"}}
	served.poll(r, "poll.weights/accounts", accounts, func() { must(agent.Reconcile(context.Background())) })
}

func fillShares(memory *table.Memory, name string) {
	_, err := memory.Commit(context.Background(), table.Txn{Puts: []table.Put{
		{Key: "limit/" + name, Value: encode(shares(name))}, {Key: "limits/head", Value: []byte("{}")},
	}})
	must(err)
}

// listPolls measures polls of the VM list.
func listPolls(r *report) {
	for n, entries := range entrySizes {
		servers := serverSizes[n]
		standin := &vmsstandin.Server{}

		for _, vm := range list(entries, servers).VMs {
			standin.Put(vm)
		}

		served := serve(standin.Handler())
		lister := &vms.Client{URL: served.server.URL, HTTP: served.client}
		read := func() {
			_, err := lister.List(context.Background())
			must(err)
		}

		served.poll(r, "poll.vms.unchanged/vms", entries+servers, read)

		served.poll(r, "poll.vms.changed/vms", entries+servers, func() {
			standin.Put(agentVM(0))
			read()
		})

		served.close()
	}
}

// startReads measures what a new process reads: the newest snapshot and the log after it.
func startReads(r *report) {
	for _, size := range adapterSizes {
		tables, objects := &tablestandin.Server{}, &objectstandin.Server{}
		tableServed, objectServed := serve(tables.Handler()), serve(objects.Handler())
		records := &store.Store{
			Table:   &table.Client{URL: tableServed.server.URL, HTTP: tableServed.client},
			Objects: &object.Client{URL: objectServed.server.URL, HTTP: objectServed.client},
		}

		d := sample(scale{adapters: size, accounts: 50, keys: 500})
		must(records.WriteSnapshot(context.Background(), d))

		read := func() {
			_, err := records.Latest(context.Background())
			must(err)
		}

		r.add("bytes.start.table/adapters", size, tableServed.counter.of(read), Bytes)
		r.add("bytes.start.objects/adapters", size, objectServed.counter.of(read), Bytes)
		r.add("cpu.start/adapters", size, micros(cost(read))/1000, Milliseconds)

		tableServed.close()
		objectServed.close()
	}
}
