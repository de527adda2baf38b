package soak

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

const (
	// slowTable is the delay of a slow table service, in milliseconds.
	slowTable = 800
	// lostResponses is the number of commits whose response is lost.
	lostResponses = 3
	// terminationNotice is how long the platform lists a VM as terminating before it removes the VM.
	terminationNotice = 20 * time.Second
	// faultRace is two operators changing the same version concurrently.
	faultRace = "race"
)

// NonDisruptiveFaults are operations that must not disrupt callers.
var NonDisruptiveFaults = []string{"graceful entry", "graceful agent", "domain out", faultRace}

// AllFaults are all kinds of faults.
var AllFaults = []string{
	"kill entry", "pause entry", "graceful entry", "partition table", "partition peers",
	"kill agent", "pause agent", "graceful agent", "partition engine", "leave", "replace",
	"restart engine", "cold", "fail loads", "mix streams", "truncate streams",
	"table outage", "table slow", "table lost", "list outage", "weights slow",
	"revoke", "revoke in outage", "domain out", faultRace,
}

// entryFaults are the faults of one entry, by kind.
var entryFaults = map[string]func(i *injector, domain string, one step){
	"kill entry": func(i *injector, domain string, one step) {
		i.fleet.entry(domain).kill(i.fleet.network)
		time.Sleep(one.length)
		i.fleet.startEntry(domain)
	},
	"graceful entry": func(i *injector, domain string, _ step) {
		stopping := i.fleet.entry(domain)
		stopping.stop()
		<-stopping.done
		i.fleet.startEntry(domain)
	},
	"pause entry": func(i *injector, domain string, one step) {
		i.fleet.network.pause(entryName(domain), true)
		time.Sleep(one.length)
		i.fleet.network.pause(entryName(domain), false)
	},
	// Only one entry at a time is partitioned from the table: the design states which guarantees do not hold if a majority
	// is.
	"partition table": func(i *injector, domain string, one step) {
		i.exclusive("partition table", func() {
			i.fleet.network.partition(entryName(domain), tableName, true)
			time.Sleep(one.length)
			i.fleet.network.partition(entryName(domain), tableName, false)
		})
	},
	"partition peers": func(i *injector, domain string, one step) {
		for _, on := range []bool{true, false} {
			for _, other := range domains {
				if other != domain {
					i.fleet.network.partition(entryName(domain), entryName(other), on)
				}
			}

			if on {
				time.Sleep(one.length)
			}
		}
	},
}

// engineFaults are the entries of backendFaults that apply to engines only.
var engineFaults = map[string]bool{
	"partition engine": true, "restart engine": true, "cold": true, "fail loads": true, "mix streams": true, "truncate streams": true,
}

// backendFaults are the faults of one backend server or its agent, by kind.
var backendFaults = map[string]func(i *injector, b *backend, one step){
	"kill agent": func(i *injector, b *backend, one step) {
		b.agent.kill(i.fleet.network)
		time.Sleep(one.length)
		i.fleet.startAgent(b)
	},
	"graceful agent": func(i *injector, b *backend, _ step) {
		b.agent.stop()
		<-b.agent.done
		i.fleet.startAgent(b)
	},
	"pause agent": func(i *injector, b *backend, one step) {
		i.fleet.network.pause(b.vm, true)
		time.Sleep(one.length)
		i.fleet.network.pause(b.vm, false)
	},
	"partition engine": func(i *injector, b *backend, one step) {
		i.fleet.network.partition(b.vm, b.name, true)
		time.Sleep(one.length)
		i.fleet.network.partition(b.vm, b.name, false)
	},
	// The VM list stays available meanwhile: the design states no time within which entries learn of a terminating VM while
	// the list is unavailable.
	"leave": func(i *injector, b *backend, _ step) {
		i.exclusive(listName, func() {
			i.fleet.list.Put(b.vmEntry(true))
			i.fleet.record.recordEvent(eventDraining, b.name)
			time.Sleep(terminationNotice)
			b.agent.stop()
			<-b.agent.done
			i.replaceBackend(b)
		})
	},
	"replace": func(i *injector, b *backend, _ step) {
		b.agent.kill(i.fleet.network)
		i.replaceBackend(b)
	},
	"restart engine": func(_ *injector, b *backend, _ step) { b.model.Restart() },
	"cold": func(i *injector, b *backend, one step) {
		i.fleet.markBecameCold(b)
		b.model.BeginColdStart(one.length, one.entry == 0)
		time.Sleep(one.length)
	},
	"fail loads":       func(_ *injector, b *backend, _ step) { b.addFaults(engine.Faults{FailingLoads: 3}) },
	"mix streams":      func(_ *injector, b *backend, _ step) { b.addFaults(engine.Faults{MixedStreams: 3}) },
	"truncate streams": func(_ *injector, b *backend, _ step) { b.addFaults(engine.Faults{TruncatedStreams: 3}) },
}

// replaceBackend replaces a backend server and its VM by a new VM with an empty backend server.
func (i *injector) replaceBackend(b *backend) {
	i.fleet.remove(b)

	if b.model != nil {
		i.fleet.addEngine(b.domain)
		return
	}

	i.fleet.addOrders(b.domain)
}

// addFaults increases the numbers of streams and loads that will fail.
func (b *backend) addFaults(more engine.Faults) {
	faults := b.model.Faults()
	faults.FailingLoads += more.FailingLoads
	faults.MixedStreams += more.MixedStreams
	faults.TruncatedStreams += more.TruncatedStreams
	b.model.SetFaults(faults)
}

// sharedFaults are the faults of shared services and the operators' changes, by kind.
var sharedFaults = map[string]func(i *injector, one step){
	"table outage": func(i *injector, one step) { i.tableFault(switches.State{Outage: true}, one.length) },
	"table slow":   func(i *injector, one step) { i.tableFault(switches.State{RequestDelayMS: slowTable}, one.length) },
	"table lost":   func(i *injector, one step) { i.tableFault(switches.State{LostResponses: lostResponses}, one.length) },
	"list outage": func(i *injector, one step) {
		i.exclusive(listName, func() {
			i.fleet.list.Switches.Set(switches.State{Outage: true})
			time.Sleep(one.length)
			i.fleet.list.Switches.Set(switches.State{})
		})
	},
	"weights slow": func(i *injector, one step) {
		i.fleet.weights.Switches.Set(switches.State{RequestDelayMS: slowTable})
		time.Sleep(one.length)
		i.fleet.weights.Switches.Set(switches.State{})
	},
	"revoke": func(i *injector, one step) { i.revoke(one) },
	"revoke in outage": func(i *injector, one step) {
		i.tableFaultDuring(switches.State{Outage: true}, one.length, func() { i.revoke(one) })
	},
	"domain out": func(i *injector, one step) { i.domainOut(one) },
	faultRace:    func(i *injector, one step) { i.race(one) },
}

// tableFault sets the fault switches of the table for the given duration.
func (i *injector) tableFault(state switches.State, length time.Duration) {
	i.tableFaultDuring(state, length, func() {})
}

// tableFaultDuring sets the fault switches of the table, waits half of the duration, calls act, waits for the other half and
// resets the switches.
func (i *injector) tableFaultDuring(state switches.State, length time.Duration, act func()) {
	i.exclusive(tableName, func() {
		i.fleet.table.switches.Set(state)
		time.Sleep(length / 2)
		act()
		time.Sleep(length / 2)
		i.fleet.table.switches.Set(switches.State{})
	})
}
