package main

import (
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// clockTicksPerSecond is the unit of CPU time in /proc/PID/stat (see proc(5)).
const clockTicksPerSecond = 100

// usage is the CPU time that a process has used and its resident memory.
type usage struct {
	cpuSeconds float64
	rssBytes   int64
}

// readUsage reads a process's usage from /proc/PID/stat.
func readUsage(pid int) (usage, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return usage{}, eris.Wrap(err, "read process usage")
	}
	// Counted after the program's name, which is in parentheses, the 12th and
	// 13th fields are user and system time and the 22nd is resident pages.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return usage{}, eris.New("read process usage: /proc/PID/stat has fewer than 22 fields after the program's name")
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		cpuSeconds: float64(user+system) / clockTicksPerSecond,
		rssBytes:   pages * int64(os.Getpagesize()),
	}, nil
}

// loopbackBytes returns the bytes received on the loopback interface since boot.
// Sent bytes are not added, since every byte sent there is also received there.
func loopbackBytes() (int64, error) {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0, eris.Wrap(err, "read loopback traffic")
	}
	for line := range strings.Lines(string(data)) {
		name, counters, found := strings.Cut(strings.TrimSpace(line), ":")
		fields := strings.Fields(counters)
		if found && name == "lo" && len(fields) > 0 {
			return strconv.ParseInt(fields[0], 10, 64)
		}
	}
	return 0, eris.New("read loopback traffic: no interface lo in /proc/net/dev")
}

// Summary is the median and the maximum of a set of values.
type Summary struct {
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

func summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Summary{Median: sorted[len(sorted)/2], Max: sorted[len(sorted)-1]}
}
