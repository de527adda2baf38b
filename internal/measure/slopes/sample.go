package slopes

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// The sizes to design for.
const (
	fullAdapters = 40_000
	fullServers  = 880
	fullEntries  = 370
	fullDomains  = 7
	fullRegions  = 3
	fullModels   = 4
)

// baseVersion is the version of sample documents.
const baseVersion = 1000

// scale says how much of each thing a sample document has.
type scale struct {
	adapters int
	accounts int
	keys     int
}

func model(n int) string {
	return "base-" + strconv.Itoa(n%fullModels)
}

func adapter(n int) string {
	return fmt.Sprintf("adapter-%05d", n)
}

func account(n int) string {
	return fmt.Sprintf("account-%05d", n)
}

// key returns the key that a caller presents.
func key(n int) string {
	return fmt.Sprintf("cb-key-%05d", n)
}

// sample returns a valid document of a size.
func sample(size scale) *document.Document {
	d := document.Empty()
	d.Version = baseVersion
	d.Default.Output = 64
	d.Default.Limit = 64
	d.Default.Ramp = 64
	d.Routes["chat"] = document.Route{Path: "/v1/chat/completions", Methods: []string{"POST"}}

	for n := range fullModels {
		d.Models[model(n)] = document.Model{Context: 32768}
	}

	for n := range size.adapters {
		d.Adapters[adapter(n)] = document.Adapter{Model: model(n), Versions: []string{"v1", "v2"}, Pin: "v2"}
	}

	for n := range size.accounts {
		d.Accounts[account(n)] = document.Account{Rate: 1e9, Burst: 1e12}
	}

	for n := range size.keys {
		hash := sha256.Sum256([]byte(key(n)))
		d.Keys["key-"+strconv.Itoa(n)] = document.Key{Hash: hex.EncodeToString(hash[:]), Account: account(n % max(size.accounts, 1))}
	}

	return d
}

// oneChange returns a usual change: a new pin of one adapter.
func oneChange(version int64) document.Change {
	return document.Change{
		Version: version, ID: fmt.Sprintf("change-%016d", version), Author: "marisol", Time: time.Unix(1_900_000_000, 0).UTC(),
		Reason: "the new version passed its checks",
		Edits: []document.Edit{{
			Section: document.SectionAdapter, Name: adapter(0),
			Value: []byte(`{"model":"base-0","versions":["v1","v2"],"pin":"v1"}`),
		}},
	}
}

func domain(n int) string {
	return "domain-" + strconv.Itoa(n%fullDomains)
}

func region(n int) string {
	return "region-" + strconv.Itoa(n%fullDomains%fullRegions)
}

func entryVM(n int) vms.VM {
	return vms.VM{
		Name: fmt.Sprintf("vm-entry-%03d", n), Address: fmt.Sprintf("10.1.%d.%d:7000", n/250, n%250),
		Domain: domain(n), Region: region(n), Role: vms.RoleEntry,
	}
}

func agentVM(n int) vms.VM {
	return vms.VM{
		Name: fmt.Sprintf("vm-engine-%03d", n), Address: fmt.Sprintf("10.2.%d.%d:7000", n/250, n%250),
		Domain: domain(n), Region: region(n), Role: vms.RoleAgent,
		Server: fmt.Sprintf("engine-%03d", n), Serves: []string{"model/" + model(n)},
	}
}

// list returns a VM list.
func list(entries, servers int) vms.List {
	sample := vms.List{Sequence: 1}

	for n := range entries {
		sample.VMs = append(sample.VMs, entryVM(n))
	}

	for n := range servers {
		sample.VMs = append(sample.VMs, agentVM(n))
	}

	return sample
}

// view returns the member view of a list.
func view(servers int) *member.View {
	return member.NewView(member.Merge(list(0, servers), nil, &member.Breakers{}, time.Now()))
}

// shares returns the assignment of an account to three holders.
func shares(name string) board.Assignment {
	assigned := board.Assignment{Account: name, Epoch: 1}
	parts := []int64{333_334, 333_333, 333_333}

	for n, part := range parts {
		vm := entryVM(n)
		assigned.Holders = append(assigned.Holders, board.Holder{
			VM: vm.Name, Address: vm.Address, Boot: fmt.Sprintf("boot-%016d", n), Domain: vm.Domain, Share: part, Since: 1, Full: true, Listed: 1,
		})
	}

	return assigned
}
