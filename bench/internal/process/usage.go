package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// ticksPerSecond is the clock tick rate (USER_HZ) of CPU times in /proc on Linux.
const ticksPerSecond = 100

// kibibyte is the unit of memory sizes in /proc/PID/status.
const kibibyte = 1024

// Usage holds the resources that a process has consumed.
type Usage struct {
	// CPU is the user and system time since the start.
	CPU time.Duration
	// ResidentBytes is the resident memory now, PeakBytes its maximum so far.
	ResidentBytes, PeakBytes uint64
	// IOBytes counts bytes read and written so far, by files and connections.
	IOBytes uint64
}

// Usage reads the resource usage of the process from /proc.
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

// parseStat returns the sum of user and system time, fields 14 and 15 of
// /proc/PID/stat. Field 2, the program name in parentheses, may contain spaces, so
// the fields are counted from its closing parenthesis.
func parseStat(stat []byte) (time.Duration, error) {
	const user, system = 11, 12
	end := bytes.LastIndexByte(stat, ')')
	fields := bytes.Fields(stat[end+1:])
	if len(fields) <= system {
		return 0, fmt.Errorf("/proc/PID/stat has %d fields after the program name, too few", len(fields))
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

// parseField returns the number that follows the name at the start of a line, or 0
// when there is no such line or number.
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
