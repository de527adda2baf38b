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

// operatorRetryDelay is the delay between two attempts of an operator.
const operatorRetryDelay = time.Second

// maxOperatorAttempts is the maximum number of attempts; together they last longer than any fault.
const maxOperatorAttempts = 60

// entryOrder returns the failure domains in the order in which an operator tries their entries.
func entryOrder(one step) []string {
	return append(append([]string{}, domains[one.entry:]...), domains[:one.entry]...)
}

// revoke revokes one key, never the first key of an account.
func (i *injector) revoke(one step) {
	credentials := i.fleet.keys[accounts[one.target%len(accounts)]]
	target := credentials[1+one.target/len(accounts)%(len(credentials)-1)]

	outcome, err := i.fleet.change("/keys/"+target.id+"/revoke", entryOrder(one)...)

	switch {
	case err != nil || outcome.Unchanged:
	case outcome.Pending:
		i.fleet.record.recordEvent(eventRevocationPending, target.id)
	default:
		i.monitor.accept(outcome)
		i.fleet.record.recordEvent(eventRevoked, target.id)
	}
}

// domainOut takes a failure domain out of service and puts it back into service. Only one is out at a time, so that capacity
// remains.
func (i *injector) domainOut(one step) {
	domain := domains[one.target%len(domains)]

	outcome, err := i.fleet.change("/domains/"+domain+"/out", entryOrder(one)...)
	if err == nil {
		i.monitor.accept(outcome)
		i.fleet.record.recordEvent(eventOut, domain)
	}

	time.Sleep(maxEffectDelay + one.length)
	i.fleet.record.recordEvent(eventIn, domain)

	for range maxOperatorAttempts {
		outcome, err = i.fleet.change("/domains/"+domain+"/in", entryOrder(one)...)
		if err == nil {
			i.monitor.accept(outcome)
			return
		}

		time.Sleep(operatorRetryDelay)
	}

	i.fleet.record.reportViolation("failure domain %s could not be put back into service: %v", domain, err)
}

// race lets two operators change the fleet concurrently, based on the same version. At most one change may be reported as
// committed.
func (i *injector) race(one step) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()

	var status api.Status

	if err := i.fleet.operator(entryOrder(one)...).Get(ctx, "/status", nil, &status); err != nil {
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
			i.monitor.accept(outcome)
		}
	}

	if errs[0] == nil && errs[1] == nil && outcomes[0].Version == outcomes[1].Version {
		i.fleet.record.reportViolation("P14: the changes of two operators were both reported as version %d", outcomes[0].Version)
	}
}

// edit changes the timeout of one adapter; the value is irrelevant.
func (i *injector) edit(ctx context.Context, version int64, one step, side int) (api.Outcome, error) {
	var outcome api.Outcome

	timeout := document.Duration(requestTimeout + time.Duration(one.target)*time.Millisecond)
	value, err := json.Marshal(document.Exception{
		Scope: document.ScopeAdapter, Target: adapterName(side), Set: document.Patch{Timeout: &timeout}, Reason: faultRace,
	})
	if err != nil {
		return outcome, err
	}

	name := fmt.Sprintf("race-%d", side)
	edits := []document.Edit{{Section: document.SectionException, Name: name, Value: value}}
	first := entryOrder(one)
	entries := append(append([]string{}, first[side:]...), first[:side]...)
	err = i.fleet.operator(entries...).Post(ctx, "/change", api.Change{
		ID: fmt.Sprintf("change-%d-%d-%d", one.target, version, side), Version: version, Reason: faultRace, Edits: edits,
	}, &outcome)

	return outcome, err
}
