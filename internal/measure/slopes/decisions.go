package slopes

import (
	"context"
	"strconv"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/ramp"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/route/pick"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

var (
	serverSizes  = []int{22, 220, designServers}
	adapterSizes = []int{400, 4000, designAdapters}
	accountSizes = []int{5, 50, 500, 5000}
	entrySizes   = []int{3, 37, designEntries}
)

// decisions measures routing, admission and debits.
func decisions(r *report) {
	for _, size := range serverSizes {
		r.add("cpu.route.cached/servers", size, routeCachedCost(size), Microseconds)
		r.add("cpu.route.ranking/servers", size, routeRankingCost(size), Microseconds)
		r.add("cpu.members.refresh/servers", size, refreshCost(size), Microseconds)
	}

	for _, size := range accountSizes {
		r.add("cpu.admission/waiting-accounts", size, admissionCost(size), Microseconds)
		r.add("cpu.debit.local/accounts", size, debitLocalCost(size), Microseconds)
		r.add("cpu.debit.holder/accounts", size, debitHolderCost(size), Microseconds)
	}
}

func pickQuery(n int) pick.Query {
	name := adapter(n)

	return pick.Query{Capability: "model/" + model(n), HashKey: name, Adapter: name + "@v2", Now: time.Now()}
}

// routeCachedCost measures routing for adapters whose ranking is cached. A quarter of the fleet serves each model.
func routeCachedCost(servers int) float64 {
	const adapters = 256

	servingView := memberView(servers)
	picker := &pick.Picker{Domain: domain(0), Region: region(0)}
	queries := make([]pick.Query, 0, adapters)

	for n := range adapters {
		queries = append(queries, pickQuery(n))
	}

	next := 0

	return cpuMicros(func() {
		picker.Pick(servingView, queries[next%adapters])
		next++
	})
}

// routeRankingCost measures the first routing for an adapter after the member view has changed.
func routeRankingCost(servers int) float64 {
	picker := &pick.Picker{Domain: domain(0), Region: region(0)}
	views := []*member.View{memberView(servers), memberView(servers)}
	query := pickQuery(0)
	next := 0

	return cpuMicros(func() {
		picker.Pick(views[next%len(views)], query)
		next++
	})
}

// refreshCost measures a refresh of the members without a change; entries do one each second.
func refreshCost(servers int) float64 {
	shared := &board.Board{}
	shared.Document.Set(sampleDocument(documentSize{}))
	shared.VMs.Set(vmList(designEntries, servers))

	members := &member.Controller{Board: shared}

	return micros(cpuTime(func() { members.Refresh(time.Now()) }))
}

// admissionCost measures the decisions of the agent for one request: push, pop and completion, while each account has a
// waiting request.
func admissionCost(accounts int) float64 {
	now := time.Now()
	throughput := queue.Throughput{}
	waiting := &queue.Queue{Limit: accounts + 1}
	limit := &ramp.Ramp{}
	limit.Configure(2, 64)

	for n := range accounts {
		_, _ = waiting.Push(now, &queue.Item{ID: strconv.Itoa(n), Account: account(n), Cost: 100, Deadline: now.Add(time.Hour)}, throughput)
	}

	next := 0
	names := make([]string, accounts)

	for n := range names {
		names[n] = account(n)
	}

	return cpuMicros(func() {
		item := &queue.Item{ID: "r", Account: names[next%accounts], Cost: 100, Deadline: now.Add(time.Hour)}
		_, _ = waiting.Push(now, item, throughput)
		_ = limit.Limit()
		waiting.Pop()
		limit.Complete(limit.Epoch())

		next++
	})
}

// singleHolderBoard returns a board on which one process holds the whole share of every account.
func singleHolderBoard(accounts int) *board.Board {
	shared := &board.Board{}
	shared.Document.Set(sampleDocument(documentSize{accounts: accounts}))

	assigned := map[string]board.Assignment{}

	for n := range accounts {
		only := shareAssignment(account(n))
		only.Holders = only.Holders[:1]
		only.Holders[0].Share = terms.TotalShare
		assigned[account(n)] = only
	}

	shared.Shares.Set(assigned)

	return shared
}

func holderBootID() string {
	return shareAssignment(account(0)).Holders[0].Boot
}

func debitLocalCost(accounts int) float64 {
	shared := singleHolderBoard(accounts)
	local := &holder.Holder{Board: shared, Boot: holderBootID()}
	debitLedger := &ledger.Ledger{Board: shared, Local: local}
	next := 0

	return cpuMicros(func() {
		charge, err := debitLedger.Debit(context.Background(), account(next%accounts), 1)
		must(err)
		debitLedger.Refund(charge, 1)

		next++
	})
}

// debitHolderCost measures the handling of a debit at the holder, without the message.
func debitHolderCost(accounts int) float64 {
	local := &holder.Holder{Board: singleHolderBoard(accounts), Boot: holderBootID()}
	next := 0

	return cpuMicros(func() {
		request := &rpc.DebitRequest{RequestId: strconv.Itoa(next), Account: account(next % accounts), Amount: 1, Epoch: 1}
		_, err := local.Debit(context.Background(), request)
		must(err)

		next++
	})
}

// must panics on an error, because measurements of a failed call are invalid.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
