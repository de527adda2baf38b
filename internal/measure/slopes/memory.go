package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/ledger"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/route/pick"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// residents is the number of adapters that are resident at one engine.
const residents = 32

var keySizes = []int{50, 500, 5000}

// memory measures live heap.
func memory(r *report) {
	for _, size := range adapterSizes {
		r.add("memory.document/adapters", size, documentMemory(scale{adapters: size}), Bytes)
		r.add("memory.rankings/adapters", size, rankingMemory(size), Bytes)
	}

	for _, size := range serverSizes {
		r.add("memory.members/servers", size, memberMemory(size), Bytes)
	}

	for _, size := range accountSizes {
		r.add("memory.limits/accounts", size, accountMemory(size), Bytes)
	}

	for _, size := range keySizes {
		r.add("memory.keys/keys", size, keyMemory(size), Bytes)
	}
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	must(err)

	return data
}

// documentMemory measures a document as a process holds it, decoded from a snapshot.
func documentMemory(size scale) float64 {
	snapshot := encode(sample(size))

	_, bytes := held(func() *document.Document {
		d, err := store.DecodeSnapshot(snapshot, baseVersion)
		must(err)

		return d
	})

	return bytes
}

// rankingMemory measures the cached rankings of so many adapters over the largest list of servers.
func rankingMemory(adapters int) float64 {
	seen := view(fullServers)

	_, bytes := held(func() *pick.Picker {
		picker := &pick.Picker{}
		for n := range adapters {
			picker.Pick(seen, pickQuery(n))
		}

		return picker
	})

	return bytes
}

// members is what an entry keeps of backend servers.
type members struct {
	list     vms.List
	contacts *member.Breakers
	view     *member.View
	picker   *pick.Picker
}

func memberMemory(servers int) float64 {
	encoded := encode(list(0, servers))

	_, bytes := held(func() *members {
		kept := &members{contacts: &member.Breakers{}, picker: &pick.Picker{}}
		must(json.Unmarshal(encoded, &kept.list))

		kept.view = member.NewView(member.Merge(kept.list, nil, kept.contacts, time.Now()))

		for n, server := range kept.view.Servers {
			kept.picker.Report(server.Name, pick.Load{Limit: 64, ResidentEpoch: 1, ResidentSent: true, Resident: residentList(n, residents)}, time.Now())
		}

		return kept
	})

	return bytes
}

func residentList(first, count int) []string {
	names := make([]string, 0, count)

	for n := range count {
		names = append(names, adapter((first*count+n)%fullAdapters)+"@v2")
	}

	return names
}

// limitsKept is what an entry that holds a share of every account keeps of client accounts.
type limitsKept struct {
	board  *board.Board
	holder *holder.Holder
	ledger *ledger.Ledger
}

// accountMemory measures accounts after one debit each; remembered debits have a bound of their own.
func accountMemory(accounts int) float64 {
	_, bytes := held(func() *limitsKept {
		shared := holderBoard(accounts)
		local := &holder.Holder{Board: shared, Boot: holderBoot()}
		kept := &limitsKept{board: shared, holder: local, ledger: &ledger.Ledger{Board: shared, Local: local}}

		for n := range accounts {
			_, err := kept.ledger.Debit(context.Background(), account(n), 1)
			must(err)
		}

		return kept
	})

	return bytes
}

type keysKept struct {
	document *document.Document
	index    *keys.Index
}

func keyMemory(count int) float64 {
	snapshot := encode(sample(scale{accounts: 1, keys: count}))

	_, bytes := held(func() *keysKept {
		d, err := store.DecodeSnapshot(snapshot, baseVersion)
		must(err)

		return &keysKept{document: d, index: keys.NewIndex(d)}
	})

	return bytes
}

// fleetFile returns a fleet file with so many adapters.
func fleetFile(adapters int) []byte {
	var file []byte

	file = append(file, "model:\n"...)

	for n := range fullModels {
		file = fmt.Appendf(file, "  %s: {context: 32768}\n", model(n))
	}

	file = append(file, "adapter:\n"...)

	for n := range adapters {
		file = fmt.Appendf(file, "  %s:\n    model: %s\n    versions: [v1, v2]\n    pin: v2\n", strconv.Quote(adapter(n)), model(n))
	}

	return file
}
