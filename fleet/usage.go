package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU time in /proc. Linux fixes it for programs at 100
// ticks a second.
const clockTick = 10 * time.Millisecond

// Usage is the CPU time and the memory that a process uses.
type Usage struct {
	// CPUTime is the CPU time since the start of the process.
	CPUTime time.Duration
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes int64
}

// Usage reads the CPU time and the memory of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	cpuTime, err := readCPUTime(p.PID())
	if err != nil {
		return Usage{}, &OperationError{Name: p.Name, Cause: err}
	}
	resident, err := readResidentBytes(p.PID())
	if err != nil {
		return Usage{}, &OperationError{Name: p.Name, Cause: err}
	}
	return Usage{CPUTime: cpuTime, ResidentBytes: resident}, nil
}

// readCPUTime reads the fields utime and stime of /proc/PID/stat, see
// proc(5).
func readCPUTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the program's name in parentheses, which may contain
	// spaces, so the fields are counted from after it.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// readResidentBytes reads the second field of /proc/PID/statm, see proc(5).
func readResidentBytes(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(content))[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// PeakResidentBytes reads the largest resident memory that a process has had from /proc/PID/status, see
// proc(5).
func PeakResidentBytes(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	kilobytes, err := strconv.ParseInt(strings.Fields(rest + " 0")[0], 10, 64)
	return kilobytes << 10, err
}
