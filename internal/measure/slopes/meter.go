package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// minBatchTime is the minimum CPU time of the batch of repetitions from which a measurement is taken.
const minBatchTime = 150 * time.Millisecond

// initialRepetitions is the number of repetitions of the first batch.
const initialRepetitions = 1

// processCPUTime returns the CPU time that this process has used, in all threads.
func processCPUTime() time.Duration {
	var usage syscall.Rusage

	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuTime returns the CPU time of one call. It repeats the call in growing batches until a batch takes minBatchTime.
func cpuTime(call func()) time.Duration {
	call()

	for repetitions := initialRepetitions; ; repetitions *= 4 {
		runtime.GC()

		started := processCPUTime()

		for range repetitions {
			call()
		}

		if used := processCPUTime() - started; used >= minBatchTime {
			return used / time.Duration(repetitions)
		}
	}
}

// cpuMicros is cpuTime in microseconds with fractions, for calls of less than a microsecond.
func cpuMicros(call func()) float64 {
	const batch = 1000

	batchTime := cpuTime(func() {
		for range batch {
			call()
		}
	})

	return micros(batchTime) / batch
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

// heapBytes returns the bytes of live objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()

	var stats runtime.MemStats

	runtime.ReadMemStats(&stats)

	return float64(stats.HeapAlloc)
}

// retainedBytes returns the result of build and the live bytes that it keeps reachable.
func retainedBytes[T any](build func() T) (T, float64) {
	before := heapBytes()
	built := build()
	after := heapBytes()
	runtime.KeepAlive(build)
	runtime.KeepAlive(built)

	return built, max(after-before, 0)
}
