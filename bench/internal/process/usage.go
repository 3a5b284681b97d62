package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// kibibyte is the unit of memory in /proc.
const kibibyte = 1024

// Usage is what a process has used of the machine.
type Usage struct {
	// CPU is processor time since the start, user and system.
	CPU time.Duration
	// ResidentBytes is its memory now, PeakBytes the most it had.
	ResidentBytes, PeakBytes uint64
	// IOBytes is all that it read and wrote so far, files and connections.
	IOBytes uint64
}

// Usage reads the process's use from /proc.
func (p *Process) Usage() (Usage, error) {
	if p.Ended() {
		return Usage{}, os.ErrProcessDone
	}
	return readUsage(p.ID())
}

func readUsage(id int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return Usage{}, err
	}
	cpu, err := parseStat(stat)
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return Usage{}, err
	}
	transfers, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", id))
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		CPU:           cpu,
		ResidentBytes: parseField(status, "VmRSS:") * kibibyte,
		PeakBytes:     parseField(status, "VmHWM:") * kibibyte,
		IOBytes:       parseField(transfers, "rchar:") + parseField(transfers, "wchar:"),
	}, nil
}

// parseStat reads user and system time, the 14th and 15th fields; the second,
// the name in parentheses, may hold blanks, so fields count from its end.
func parseStat(stat []byte) (time.Duration, error) {
	const user, system = 11, 12
	end := bytes.LastIndexByte(stat, ')')
	fields := bytes.Fields(stat[end+1:])
	if len(fields) <= system {
		return 0, fmt.Errorf("the kernel's process status has %d fields", len(fields))
	}
	var ticks int64
	for _, field := range [][]byte{fields[user], fields[system]} {
		n, err := strconv.ParseInt(string(field), 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// parseField returns the number behind the name at the start of a line; 0
// where it is absent.
func parseField(text []byte, name string) uint64 {
	for line := range bytes.Lines(text) {
		rest, found := bytes.CutPrefix(line, []byte(name))
		if !found {
			continue
		}
		fields := bytes.Fields(rest)
		if len(fields) == 0 {
			return 0
		}
		n, err := strconv.ParseUint(string(fields[0]), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	return 0
}
