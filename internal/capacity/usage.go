package capacity

import (
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cpuTime returns the processor time, user and system, of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// loadAverage returns the machine's one-minute load average, or zero.
func loadAverage() float64 {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(b), " ")
	f, _ := strconv.ParseFloat(first, 64)
	return f
}

// memory is what this process holds.
type memory struct {
	heap, stack, rss  float64
	goroutines, files int
}

// settledMemory returns what is held after garbage was collected.
func settledMemory() memory {
	debug.FreeOSMemory()
	m := heldMemory()
	m.rss = residentBytes()
	return m
}

// heldMemory returns the live heap without giving memory back to the system.
func heldMemory() memory {
	runtime.GC()
	runtime.GC() // sync.Pool keeps its items over one collection
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return memory{
		heap: float64(s.HeapAlloc), stack: float64(s.StackInuse),
		goroutines: runtime.NumGoroutine(), files: openFiles("self"),
	}
}

func residentBytes() float64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}

// openFiles counts the open files of a process, by its ID or "self".
func openFiles(process string) int {
	list, err := os.ReadDir("/proc/" + process + "/fd")
	if err != nil {
		return 0
	}
	return len(list)
}

// quanta returns quantiles of list, which it sorts.
func quanta(list []float64) Quantum {
	if len(list) == 0 {
		return Quantum{}
	}
	slices.Sort(list)
	n := len(list)
	return Quantum{P50: list[n/2], P99: list[n*99/100], Max: list[n-1]}
}

// median returns the median of list, which it sorts.
func median(list []float64) float64 {
	n := len(list)
	if n == 0 {
		return 0
	}
	slices.Sort(list)
	return (list[(n-1)/2] + list[n/2]) / 2
}
