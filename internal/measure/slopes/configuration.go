package slopes

import (
	"runtime"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
)

// configuration measures configuration changes, snapshots, fleet files and the key index.
func configuration(r *report) {
	for _, size := range adapterSizes {
		d := sampleDocument(documentSize{adapters: size, accounts: 50, keys: 500})
		snapshot := encode(d)

		r.add("cpu.apply/adapters", size, applyCost(d)/1000, Milliseconds)
		r.add("cpu.commit-check/adapters", size, commitCost(d)/1000, Milliseconds)
		r.add("bytes.snapshot/adapters", size, float64(len(snapshot)), Bytes)
		r.add("cpu.start.decode/adapters", size, decodeCost(snapshot)/1000, Milliseconds)

		used, allocated := fleetFileCost(size)
		r.add("cpu.fleet-file.parse/adapters", size, used/1000, Milliseconds)
		r.add("allocated.fleet-file.parse/adapters", size, allocated, Bytes)
	}

	for _, size := range keySizes {
		d := sampleDocument(documentSize{accounts: 50, keys: size})
		r.add("cpu.key-index/keys", size, micros(cpuTime(func() { keys.NewIndex(d) }))/1000, Milliseconds)
	}
}

// applyCost measures how a process applies a committed change of one adapter, including the check that the result is newer.
func applyCost(d *document.Document) float64 {
	change := []document.Change{pinChange(d.Version + 1)}

	return micros(cpuTime(func() {
		next, err := d.Replay(change)
		must(err)
		d.CheckNewer(next)
	}))
}

// commitCost measures the validation of a change at the entry that commits it.
func commitCost(d *document.Document) float64 {
	change := pinChange(d.Version + 1)

	return micros(cpuTime(func() {
		_, err := d.Apply(change)
		must(err)
	}))
}

func decodeCost(snapshot []byte) float64 {
	return micros(cpuTime(func() {
		_, err := store.DecodeSnapshot(snapshot, baseVersion)
		must(err)
	}))
}

// fleetFileCost measures a single parse, because that of the largest file takes seconds.
func fleetFileCost(adapters int) (used, allocated float64) {
	file := fleetFile(adapters)

	var before, after runtime.MemStats

	runtime.ReadMemStats(&before)

	started := processCPUTime()
	_, err := document.ParseFleet(file)
	used = micros(processCPUTime() - started)

	must(err)
	runtime.ReadMemStats(&after)

	return used, float64(after.TotalAlloc - before.TotalAlloc)
}
