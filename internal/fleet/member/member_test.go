package member_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

func agent(name, domain string) vms.VM {
	return vms.VM{Name: "vm-" + name, Address: name, Domain: domain, Role: vms.RoleAgent, Server: name, Serves: []string{"model/m"}}
}

// Guards against new work for servers that are terminating or out of service, and against the full weight for a server that
// has just returned to service.
func TestMerge(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	terminating := agent("s1", "a")
	terminating.Terminating = true

	cases := map[string]struct {
		vm     vms.VM
		domain document.Domain
		state  document.VM
		limit  int
		weight float64
	}{
		"usable":             {vm: agent("s1", "a"), weight: 1},
		"twice the capacity": {vm: agent("s1", "a"), limit: 16, weight: 2},
		"entry":              {vm: vms.VM{Name: "e", Role: vms.RoleEntry}},
		"terminating":        {vm: terminating},
		"domain out":         {vm: agent("s1", "a"), domain: document.Domain{Out: true}},
		"VM out":             {vm: agent("s1", "a"), state: document.VM{Out: true}},
		"domain just back":   {vm: agent("s1", "a"), domain: document.Domain{Since: now}, weight: 0.1},
		"back for 15 s":      {vm: agent("s1", "a"), domain: document.Domain{Since: now.Add(-15 * time.Second)}, weight: 0.6},
		"back for 30 s":      {vm: agent("s1", "a"), domain: document.Domain{Since: now.Add(-30 * time.Second)}, weight: 1},
		"VM just back":       {vm: agent("s1", "a"), state: document.VM{Since: now}, weight: 0.1},
		"time in the future": {vm: agent("s1", "a"), domain: document.Domain{Since: now.Add(time.Hour)}, weight: 0.1},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			doc := &document.Document{
				Domains: map[string]document.Domain{"a": tc.domain},
				VMs:     map[string]document.VM{"vm-s1": tc.state},
			}

			if tc.limit > 0 {
				doc.Default.Limit = 8
				doc.Exceptions = map[string]document.Exception{
					"big": {Scope: document.ScopeServer, Target: "s1", Set: document.Patch{Limit: &tc.limit}},
				}
			}

			servers := member.Merge(vms.List{VMs: []vms.VM{tc.vm}}, doc, &member.Breakers{}, now)

			if tc.weight == 0 {
				assert.Equal(t, len(servers), 0)
				return
			}

			assert.Equal(t, servers[0].Weight, tc.weight)
		})
	}
}

// Guards against a breaker that lets every request probe an unreachable server, one that never allows another probe, and one
// that counts a crash once for each request that it ends.
func TestBreakerBackoff(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	breaker := &member.Breaker{}

	for range 50 {
		breaker.Failed(now)
	}

	assert.Assert(t, breaker.Open(now.Add(499*time.Millisecond)))
	assert.Assert(t, !breaker.Open(now.Add(500*time.Millisecond)))

	now = now.Add(500 * time.Millisecond)
	breaker.Begin(now)
	assert.Assert(t, breaker.Open(now), "others avoid the server while one request probes it")
	assert.Assert(t, !breaker.Open(now.Add(time.Second)), "the backoff doubles")

	for range 20 {
		now = now.Add(time.Minute)
		breaker.Failed(now)
	}

	assert.Assert(t, !breaker.Open(now.Add(15*time.Second)), "the backoff is bounded")

	breaker.Succeeded()
	assert.Assert(t, !breaker.Open(now))
}

// lister returns its list, or an error if it is empty.
type lister struct{ cell board.Cell[vms.List] }

func (l *lister) List(context.Context) (vms.List, error) {
	if len(l.cell.Value().VMs) == 0 {
		return vms.List{}, errors.New("down")
	}

	return l.cell.Value(), nil
}

// Guards against a platform outage or an old list that removes servers from the view, and against a new view, which discards
// the cached rankings, without a change.
func TestControllerKeepsTheLastList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &lister{}
		platform.cell.Set(vms.List{Sequence: 2, VMs: []vms.VM{agent("s1", "a"), agent("s2", "b")}})
		state := &board.Board{}
		state.Document.Set(&document.Document{})
		controller := &member.Controller{Lister: platform, Board: state}

		go func() { _ = controller.Run(t.Context()) }()

		time.Sleep(time.Minute)
		synctest.Wait()

		view, version := controller.View.Get()
		assert.Equal(t, len(view.Servers), 2)
		assert.Equal(t, version, int64(1))

		platform.cell.Set(vms.List{})
		time.Sleep(time.Minute)

		platform.cell.Set(vms.List{Sequence: 1, VMs: []vms.VM{agent("s1", "a")}})
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(controller.View.Value().Servers), 2, "an older list is ignored")

		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(controller.View.Value().Servers), 1, "the list of a platform that restarted its sequence is accepted")

		platform.cell.Set(vms.List{Sequence: 2, VMs: []vms.VM{agent("s1", "a"), agent("s2", "b")}})
		time.Sleep(2 * time.Second)

		state.Document.Set(&document.Document{Domains: map[string]document.Domain{"b": {Out: true}}})
		synctest.Wait()
		assert.Equal(t, len(controller.View.Value().Servers), 1, "a domain out of service leaves the view at once")
	})
}

// Guards against a view that misses a change of a listed VM, and against a new view, which discards the cached rankings,
// without a change.
func TestViewChangesWithEveryField(t *testing.T) {
	cases := map[string]func(vm *vms.VM){
		"server":  func(vm *vms.VM) { vm.Server = "s2" },
		"VM":      func(vm *vms.VM) { vm.Name = "vm-new" },
		"address": func(vm *vms.VM) { vm.Address = "elsewhere" },
		"domain":  func(vm *vms.VM) { vm.Domain = "b" },
		"region":  func(vm *vms.VM) { vm.Region = "r2" },
		"serves":  func(vm *vms.VM) { vm.Serves = []string{"model/n"} },
		"weight":  func(vm *vms.VM) { vm.Domain = "returning" },
	}

	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			b := &board.Board{}
			controller := &member.Controller{Board: b}
			vm := agent("s1", "a")

			b.Document.Set(&document.Document{Domains: map[string]document.Domain{"returning": {Since: now}}})
			b.VMs.Set(vms.List{Sequence: 1, VMs: []vms.VM{vm}})
			controller.Refresh(now)

			before := controller.View.Value()

			b.VMs.Set(vms.List{Sequence: 2, VMs: []vms.VM{vm}})
			controller.Refresh(now)
			assert.Equal(t, controller.View.Value(), before)

			change(&vm)
			b.VMs.Set(vms.List{Sequence: 3, VMs: []vms.VM{vm}})
			controller.Refresh(now)
			assert.Assert(t, controller.View.Value() != before)
		})
	}
}
