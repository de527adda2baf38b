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

// residentsPerEngine is the number of adapters that are resident in an engine.
const residentsPerEngine = 32

var keySizes = []int{50, 500, 5000}

// memory measures live heap memory.
func memory(r *report) {
	for _, size := range adapterSizes {
		r.add("memory.document/adapters", size, documentMemory(documentSize{adapters: size}), Bytes)
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

// documentMemory measures a document that is decoded from a snapshot.
func documentMemory(size documentSize) float64 {
	snapshot := encode(sampleDocument(size))

	_, bytes := retainedBytes(func() *document.Document {
		d, err := store.DecodeSnapshot(snapshot, baseVersion)
		must(err)

		return d
	})

	return bytes
}

// rankingMemory measures the cached rankings of a number of adapters for the largest number of servers.
func rankingMemory(adapters int) float64 {
	largestView := memberView(designServers)

	_, bytes := retainedBytes(func() *pick.Picker {
		picker := &pick.Picker{}
		for n := range adapters {
			picker.Pick(largestView, pickQuery(n))
		}

		return picker
	})

	return bytes
}

// memberState is the state that an entry keeps about backend servers.
type memberState struct {
	list     vms.List
	breakers *member.Breakers
	view     *member.View
	picker   *pick.Picker
}

func memberMemory(servers int) float64 {
	encoded := encode(vmList(0, servers))

	_, bytes := retainedBytes(func() *memberState {
		state := &memberState{breakers: &member.Breakers{}, picker: &pick.Picker{}}
		must(json.Unmarshal(encoded, &state.list))

		state.view = member.NewView(member.Merge(state.list, nil, state.breakers, time.Now()))

		for n, server := range state.view.Servers {
			state.picker.Report(server.Name, pick.Load{Limit: 64, ResidentEpoch: 1, ResidentSent: true, Resident: residentList(n, residentsPerEngine)}, time.Now())
		}

		return state
	})

	return bytes
}

func residentList(first, count int) []string {
	names := make([]string, 0, count)

	for n := range count {
		names = append(names, adapter((first*count+n)%designAdapters)+"@v2")
	}

	return names
}

// limitState is the state that an entry that holds every account keeps about client accounts.
type limitState struct {
	board  *board.Board
	holder *holder.Holder
	ledger *ledger.Ledger
}

// accountMemory measures accounts after one debit each; the number of remembered debits is bounded separately.
func accountMemory(accounts int) float64 {
	_, bytes := retainedBytes(func() *limitState {
		shared := singleHolderBoard(accounts)
		local := &holder.Holder{Board: shared, Boot: holderBootID()}
		state := &limitState{board: shared, holder: local, ledger: &ledger.Ledger{Board: shared, Local: local}}

		for n := range accounts {
			_, err := state.ledger.Debit(context.Background(), account(n), 1)
			must(err)
		}

		return state
	})

	return bytes
}

type keyState struct {
	document *document.Document
	index    *keys.Index
}

func keyMemory(count int) float64 {
	snapshot := encode(sampleDocument(documentSize{accounts: 1, keys: count}))

	_, bytes := retainedBytes(func() *keyState {
		d, err := store.DecodeSnapshot(snapshot, baseVersion)
		must(err)

		return &keyState{document: d, index: keys.NewIndex(d)}
	})

	return bytes
}

// fleetFile returns a fleet file with a number of adapters.
func fleetFile(adapters int) []byte {
	var file []byte

	file = append(file, "model:\n"...)

	for n := range designModels {
		file = fmt.Appendf(file, "  %s: {context: 32768}\n", model(n))
	}

	file = append(file, "adapter:\n"...)

	for n := range adapters {
		file = fmt.Appendf(file, "  %s:\n    model: %s\n    versions: [v1, v2]\n    pin: v2\n", strconv.Quote(adapter(n)), model(n))
	}

	return file
}
