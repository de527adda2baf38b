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
	serverSizes  = []int{22, 220, fullServers}
	adapterSizes = []int{400, 4000, fullAdapters}
	accountSizes = []int{5, 50, 500, 5000}
	entrySizes   = []int{3, 37, fullEntries}
)

// decisions measures routing, admission and debits.
func decisions(r *report) {
	for _, size := range serverSizes {
		r.add("cpu.route.cached/servers", size, routeCached(size), Microseconds)
		r.add("cpu.route.ranking/servers", size, routeRanking(size), Microseconds)
		r.add("cpu.members.refresh/servers", size, refresh(size), Microseconds)
	}

	for _, size := range accountSizes {
		r.add("cpu.admission/waiting-accounts", size, admission(size), Microseconds)
		r.add("cpu.debit.local/accounts", size, debitLocal(size), Microseconds)
		r.add("cpu.debit.holder/accounts", size, debitHolder(size), Microseconds)
	}
}

func pickQuery(n int) pick.Query {
	name := adapter(n)

	return pick.Query{Capability: "model/" + model(n), HashKey: name, Adapter: name + "@v2", Now: time.Now()}
}

// routeCached measures choices for adapters whose ranking is known. The servers of one model are a quarter of the fleet.
func routeCached(servers int) float64 {
	const adapters = 256

	seen := view(servers)
	picker := &pick.Picker{Domain: domain(0), Region: region(0)}
	queries := make([]pick.Query, 0, adapters)

	for n := range adapters {
		queries = append(queries, pickQuery(n))
	}

	next := 0

	return costMicros(func() {
		picker.Pick(seen, queries[next%adapters])
		next++
	})
}

// routeRanking measures the first choice for an adapter after the member view has changed.
func routeRanking(servers int) float64 {
	picker := &pick.Picker{Domain: domain(0), Region: region(0)}
	views := []*member.View{view(servers), view(servers)}
	query := pickQuery(0)
	next := 0

	return costMicros(func() {
		picker.Pick(views[next%len(views)], query)
		next++
	})
}

// refresh measures a look at the members that finds nothing changed; entries take one each second.
func refresh(servers int) float64 {
	shared := &board.Board{}
	shared.Document.Set(sample(scale{}))
	shared.VMs.Set(list(fullEntries, servers))

	members := &member.Controller{Board: shared}

	return micros(cost(func() { members.Refresh(time.Now()) }))
}

// admission measures what the agent decides for one request: enter the queue, leave it, and count its end, while each
// account has a request waiting.
func admission(accounts int) float64 {
	now := time.Now()
	pace := queue.Throughput{}
	waiting := &queue.Queue{Limit: accounts + 1}
	limit := &ramp.Ramp{}
	limit.Configure(2, 64)

	for n := range accounts {
		_, _ = waiting.Push(now, &queue.Item{ID: strconv.Itoa(n), Account: account(n), Cost: 100, Deadline: now.Add(time.Hour)}, pace)
	}

	next := 0
	names := make([]string, accounts)

	for n := range names {
		names[n] = account(n)
	}

	return costMicros(func() {
		item := &queue.Item{ID: "r", Account: names[next%accounts], Cost: 100, Deadline: now.Add(time.Hour)}
		_, _ = waiting.Push(now, item, pace)
		_ = limit.Limit()
		waiting.Pop()
		limit.Complete(limit.Epoch())

		next++
	})
}

// holderBoard returns a board on which one process holds every account.
func holderBoard(accounts int) *board.Board {
	shared := &board.Board{}
	shared.Document.Set(sample(scale{accounts: accounts}))

	assigned := map[string]board.Assignment{}

	for n := range accounts {
		only := shares(account(n))
		only.Holders = only.Holders[:1]
		only.Holders[0].Share = terms.TotalShare
		assigned[account(n)] = only
	}

	shared.Shares.Set(assigned)

	return shared
}

func holderBoot() string {
	return shares(account(0)).Holders[0].Boot
}

func debitLocal(accounts int) float64 {
	shared := holderBoard(accounts)
	local := &holder.Holder{Board: shared, Boot: holderBoot()}
	debits := &ledger.Ledger{Board: shared, Local: local}
	next := 0

	return costMicros(func() {
		charge, err := debits.Debit(context.Background(), account(next%accounts), 1)
		must(err)
		debits.Refund(charge, 1)

		next++
	})
}

// debitHolder measures the service at the holder without the message.
func debitHolder(accounts int) float64 {
	local := &holder.Holder{Board: holderBoard(accounts), Boot: holderBoot()}
	next := 0

	return costMicros(func() {
		request := &rpc.DebitRequest{RequestId: strconv.Itoa(next), Account: account(next % accounts), Amount: 1, Epoch: 1}
		_, err := local.Debit(context.Background(), request)
		must(err)

		next++
	})
}

// must ends the measurement: a figure of a call that failed would be worth nothing.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
