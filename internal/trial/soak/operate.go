package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

// operateRetry is the time between two tries of an operator.
const operateRetry = time.Second

// operateTries is how often an operator tries; no fault lasts as long.
const operateTries = 60

// through returns the entries in the order in which an operator tries them.
func through(one step) []string {
	return append(append([]string{}, domains[one.other:]...), domains[:one.other]...)
}

// revoke revokes one key; each account keeps its first one.
func (i *injector) revoke(one step) {
	held := i.fleet.keys[accounts[one.which%len(accounts)]]
	target := held[1+one.which/len(accounts)%(len(held)-1)]

	outcome, err := i.fleet.change("/keys/"+target.id+"/revoke", through(one)...)

	switch {
	case err != nil || outcome.Unchanged:
	case outcome.Pending:
		i.fleet.record.note(eventHeld, target.id)
	default:
		i.watch.accept(outcome)
		i.fleet.record.note(eventRevoked, target.id)
	}
}

// domainOut takes a failure domain out of service and back in; one at a time, so that capacity is left.
func (i *injector) domainOut(one step) {
	domain := domains[one.which%len(domains)]

	outcome, err := i.fleet.change("/domains/"+domain+"/out", through(one)...)
	if err == nil {
		i.watch.accept(outcome)
		i.fleet.record.note(eventOut, domain)
	}

	time.Sleep(lapse + one.length)
	i.fleet.record.note(eventIn, domain)

	for range operateTries {
		outcome, err = i.fleet.change("/domains/"+domain+"/in", through(one)...)
		if err == nil {
			i.watch.accept(outcome)
			return
		}

		time.Sleep(operateRetry)
	}

	i.fleet.record.violate("failure domain %s could not be brought back: %v", domain, err)
}

// race lets two operators change the fleet on top of the same version; at most one may be told that it did.
func (i *injector) race(one step) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()

	var status api.Status

	if err := i.fleet.operator(through(one)...).Get(ctx, "/status", nil, &status); err != nil {
		return
	}

	var (
		group    sync.WaitGroup
		outcomes [2]api.Outcome
		errs     [2]error
	)

	for side := range outcomes {
		group.Go(func() {
			outcomes[side], errs[side] = i.edit(ctx, status.Version, one, side)
		})
	}

	group.Wait()

	for side, outcome := range outcomes {
		if errs[side] == nil {
			i.watch.accept(outcome)
		}
	}

	if errs[0] == nil && errs[1] == nil && outcomes[0].Version == outcomes[1].Version {
		i.fleet.record.violate("P14: two operators were both told that they made version %d", outcomes[0].Version)
	}
}

// edit changes the timeout of one adapter, to a value that does not matter.
func (i *injector) edit(ctx context.Context, version int64, one step, side int) (api.Outcome, error) {
	var outcome api.Outcome

	timeout := document.Duration(requestTimeout + time.Duration(one.which)*time.Millisecond)
	value, err := json.Marshal(document.Exception{
		Scope: document.ScopeAdapter, Target: adapterName(side), Set: document.Patch{Timeout: &timeout}, Reason: faultRace,
	})
	if err != nil {
		return outcome, err
	}

	name := fmt.Sprintf("race-%d", side)
	edits := []document.Edit{{Section: document.SectionException, Name: name, Value: value}}
	first := through(one)
	entries := append(append([]string{}, first[side:]...), first[:side]...)
	err = i.fleet.operator(entries...).Post(ctx, "/change", api.Change{
		ID: fmt.Sprintf("change-%d-%d-%d", one.which, version, side), Version: version, Reason: faultRace, Edits: edits,
	}, &outcome)

	return outcome, err
}
