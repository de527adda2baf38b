package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// costTime is the processor time that the repetitions of one measurement take at least.
const costTime = 150 * time.Millisecond

// firstRepeats is the number of repetitions of the first batch.
const firstRepeats = 1

// processorTime returns the processor time that this process has used, in all threads.
func processorTime() time.Duration {
	var usage syscall.Rusage

	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cost returns the processor time of one call. It repeats the call in growing batches until a batch takes costTime.
func cost(call func()) time.Duration {
	call()

	for repeats := firstRepeats; ; repeats *= 4 {
		runtime.GC()

		started := processorTime()

		for range repeats {
			call()
		}

		if used := processorTime() - started; used >= costTime {
			return used / time.Duration(repeats)
		}
	}
}

// costMicros is cost in microseconds with fractions, for calls of less than a microsecond.
func costMicros(call func()) float64 {
	const batch = 1000

	whole := cost(func() {
		for range batch {
			call()
		}
	})

	return micros(whole) / batch
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()

	var stats runtime.MemStats

	runtime.ReadMemStats(&stats)

	return float64(stats.HeapAlloc)
}

// held returns the live bytes that what build returns keeps reachable.
func held[T any](build func() T) (T, float64) {
	before := heap()
	built := build()
	after := heap()
	runtime.KeepAlive(build)
	runtime.KeepAlive(built)

	return built, max(after-before, 0)
}
