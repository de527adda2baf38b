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

// The fleet size for which the system is designed.
const (
	designAdapters = 40_000
	designServers  = 880
	designEntries  = 370
	designDomains  = 7
	designRegions  = 3
	designModels   = 4
)

// baseVersion is the version of sample documents.
const baseVersion = 1000

// documentSize holds the number of objects of each kind in a sample document.
type documentSize struct {
	adapters int
	accounts int
	keys     int
}

func model(n int) string {
	return "base-" + strconv.Itoa(n%designModels)
}

func adapter(n int) string {
	return fmt.Sprintf("adapter-%05d", n)
}

func account(n int) string {
	return fmt.Sprintf("account-%05d", n)
}

// apiKey returns the key that a client sends.
func apiKey(n int) string {
	return fmt.Sprintf("cb-key-%05d", n)
}

// sampleDocument returns a valid document of a size.
func sampleDocument(size documentSize) *document.Document {
	d := document.Empty()
	d.Version = baseVersion
	d.Default.Output = 64
	d.Default.Limit = 64
	d.Default.Ramp = 64
	d.Routes["chat"] = document.Route{Path: "/v1/chat/completions", Methods: []string{"POST"}}

	for n := range designModels {
		d.Models[model(n)] = document.Model{Context: 32768}
	}

	for n := range size.adapters {
		d.Adapters[adapter(n)] = document.Adapter{Model: model(n), Versions: []string{"v1", "v2"}, Pin: "v2"}
	}

	for n := range size.accounts {
		d.Accounts[account(n)] = document.Account{Rate: 1e9, Burst: 1e12}
	}

	for n := range size.keys {
		hash := sha256.Sum256([]byte(apiKey(n)))
		d.Keys["key-"+strconv.Itoa(n)] = document.Key{Hash: hex.EncodeToString(hash[:]), Account: account(n % max(size.accounts, 1))}
	}

	return d
}

// pinChange returns a typical change: a new pin of one adapter.
func pinChange(version int64) document.Change {
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
	return "domain-" + strconv.Itoa(n%designDomains)
}

func region(n int) string {
	return "region-" + strconv.Itoa(n%designDomains%designRegions)
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

// vmList returns a VM list with a number of entries and of backend servers.
func vmList(entries, servers int) vms.List {
	created := vms.List{Sequence: 1}

	for n := range entries {
		created.VMs = append(created.VMs, entryVM(n))
	}

	for n := range servers {
		created.VMs = append(created.VMs, agentVM(n))
	}

	return created
}

// memberView returns a member view of a number of backend servers.
func memberView(servers int) *member.View {
	return member.NewView(member.Merge(vmList(0, servers), nil, &member.Breakers{}, time.Now()))
}

// shareAssignment returns an assignment of the shares of an account to three holders.
func shareAssignment(name string) board.Assignment {
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
