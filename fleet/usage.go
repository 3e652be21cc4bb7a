package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc, which Linux fixes for
// programs at 100 ticks a second.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used of the machine.
type Usage struct {
	// Processor is the processor time since the process started.
	Processor time.Duration
	// Resident is the memory that is resident, in bytes.
	Resident int64
}

// Usage reads what the process has used so far.
func (p *Process) Usage() (Usage, error) {
	processor, err := readProcessor(p.PID())
	if err != nil {
		return Usage{}, &StartError{Name: p.Name, Cause: err}
	}
	resident, err := readResident(p.PID())
	if err != nil {
		return Usage{}, &StartError{Name: p.Name, Cause: err}
	}
	return Usage{Processor: processor, Resident: resident}, nil
}

// readProcessor reads the fields utime and stime of /proc/PID/stat, see
// proc(5).
func readProcessor(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the program's name in brackets.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// readResident reads the second field of /proc/PID/statm, see proc(5).
func readResident(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(content))[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
