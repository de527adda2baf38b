package soak

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

const (
	// slowTable is the delay of a slow table service, in milliseconds.
	slowTable = 800
	// lostAnswers is the number of commits whose answer is lost.
	lostAnswers = 3
	// leaveNotice is how long the platform names a VM as leaving before it takes it away.
	leaveNotice = 20 * time.Second
	// faultRace is the fault of two operators that work on the same version.
	faultRace = "race"
)

// MildFaults are operations that no caller may notice.
var MildFaults = []string{"graceful entry", "graceful agent", "domain out", faultRace}

// AllFaults are all kinds of faults.
var AllFaults = []string{
	"kill entry", "freeze entry", "graceful entry", "cut table", "cut peers",
	"kill agent", "freeze agent", "graceful agent", "cut engine", "leave", "replace",
	"restart engine", "cold", "fail loads", "cross streams", "cut streams",
	"table outage", "table slow", "table lost", "list outage", "weights slow",
	"revoke", "revoke in outage", "domain out", faultRace,
}

var entryFaults = map[string]func(i *injector, domain string, one step){
	"kill entry": func(i *injector, domain string, one step) {
		i.fleet.entry(domain).kill(i.fleet.network)
		time.Sleep(one.length)
		i.fleet.startEntry(domain)
	},
	"graceful entry": func(i *injector, domain string, _ step) {
		leaving := i.fleet.entry(domain)
		leaving.stop()
		<-leaving.done
		i.fleet.startEntry(domain)
	},
	"freeze entry": func(i *injector, domain string, one step) {
		i.fleet.network.freeze(entryName(domain), true)
		time.Sleep(one.length)
		i.fleet.network.freeze(entryName(domain), false)
	},
	// One entry at a time is cut from the table: the design names the gap when a majority is.
	"cut table": func(i *injector, domain string, one step) {
		i.exclusive("cut table", func() {
			i.fleet.network.cut(entryName(domain), tableName, true)
			time.Sleep(one.length)
			i.fleet.network.cut(entryName(domain), tableName, false)
		})
	},
	"cut peers": func(i *injector, domain string, one step) {
		for _, on := range []bool{true, false} {
			for _, other := range domains {
				if other != domain {
					i.fleet.network.cut(entryName(domain), entryName(other), on)
				}
			}

			if on {
				time.Sleep(one.length)
			}
		}
	},
}

// engineFaults are those of backendFaults that concern engines only.
var engineFaults = map[string]bool{
	"cut engine": true, "restart engine": true, "cold": true, "fail loads": true, "cross streams": true, "cut streams": true,
}

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
	"freeze agent": func(i *injector, b *backend, one step) {
		i.fleet.network.freeze(b.vm, true)
		time.Sleep(one.length)
		i.fleet.network.freeze(b.vm, false)
	},
	"cut engine": func(i *injector, b *backend, one step) {
		i.fleet.network.cut(b.vm, b.name, true)
		time.Sleep(one.length)
		i.fleet.network.cut(b.vm, b.name, false)
	},
	// The list works meanwhile: the design gives no time in which entries learn of it from a list that is down.
	"leave": func(i *injector, b *backend, _ step) {
		i.exclusive(listName, func() {
			i.fleet.list.Put(b.listed(true))
			i.fleet.record.note(eventLeaving, b.name)
			time.Sleep(leaveNotice)
			b.agent.stop()
			<-b.agent.done
			i.renew(b)
		})
	},
	"replace": func(i *injector, b *backend, _ step) {
		b.agent.kill(i.fleet.network)
		i.renew(b)
	},
	"restart engine": func(_ *injector, b *backend, _ step) { b.model.Restart() },
	"cold": func(i *injector, b *backend, one step) {
		i.fleet.turn(b)
		b.model.BeginColdStart(one.length, one.other == 0)
		time.Sleep(one.length)
	},
	"fail loads":    func(_ *injector, b *backend, _ step) { b.arm(engine.Faults{FailingLoads: 3}) },
	"cross streams": func(_ *injector, b *backend, _ step) { b.arm(engine.Faults{MixedStreams: 3}) },
	"cut streams":   func(_ *injector, b *backend, _ step) { b.arm(engine.Faults{TruncatedStreams: 3}) },
}

// renew puts a new VM with an empty backend server in the place of one that is gone.
func (i *injector) renew(b *backend) {
	i.fleet.remove(b)

	if b.model != nil {
		i.fleet.addEngine(b.domain)
		return
	}

	i.fleet.addOrders(b.domain)
}

// arm adds to the streams and loads that are still to fail.
func (b *backend) arm(more engine.Faults) {
	present := b.model.Faults()
	present.FailingLoads += more.FailingLoads
	present.MixedStreams += more.MixedStreams
	present.TruncatedStreams += more.TruncatedStreams
	b.model.SetFaults(present)
}

var sharedFaults = map[string]func(i *injector, one step){
	"table outage": func(i *injector, one step) { i.table(switches.State{Outage: true}, one.length) },
	"table slow":   func(i *injector, one step) { i.table(switches.State{RequestDelayMS: slowTable}, one.length) },
	"table lost":   func(i *injector, one step) { i.table(switches.State{LostResponses: lostAnswers}, one.length) },
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
		i.tableThen(switches.State{Outage: true}, one.length, func() { i.revoke(one) })
	},
	"domain out": func(i *injector, one step) { i.domainOut(one) },
	faultRace:    func(i *injector, one step) { i.race(one) },
}

func (i *injector) table(state switches.State, length time.Duration) {
	i.tableThen(state, length, func() {})
}

// tableThen sets the switches of the table, waits half of the time, acts, and sets them back after the rest.
func (i *injector) tableThen(state switches.State, length time.Duration, act func()) {
	i.exclusive(tableName, func() {
		i.fleet.tables.switches.Set(state)
		time.Sleep(length / 2)
		act()
		time.Sleep(length / 2)
		i.fleet.tables.switches.Set(switches.State{})
	})
}
