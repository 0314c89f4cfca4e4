package metrics

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	gometrics "github.com/rcrowley/go-metrics"
)

// Names of the gauges that every daemon has.
const (
	// CPUName is the processor time of the process, in microseconds.
	CPUName = "process.cpu_us"
	// ResidentName is the resident memory of the process, in bytes.
	ResidentName = "process.resident_bytes"
)

// registerProcess adds the gauges for processor time and resident memory to r.
func registerProcess(r gometrics.Registry) {
	r.GetOrRegister(CPUName, gometrics.NewFunctionalGauge(cpuMicros))
	r.GetOrRegister(ResidentName, gometrics.NewFunctionalGauge(residentBytes))
}

// cpuMicros returns the user and system time of the process in microseconds.
func cpuMicros() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	const micros = 1_000_000
	return (u.Utime.Sec+u.Stime.Sec)*micros + u.Utime.Usec + u.Stime.Usec
}

// residentBytes returns the resident set size: the second field of
// /proc/self/statm, which is in pages.
func residentBytes() int64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
