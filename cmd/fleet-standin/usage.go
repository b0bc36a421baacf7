package main

import (
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the unit of processor time in /proc (see proc(5)).
const ticksPerSecond = 100

// usage is what one process has used so far.
type usage struct {
	cpuSeconds float64
	rssBytes   int64
}

// readUsage reads a process's usage from /proc.
func readUsage(pid int) (usage, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return usage{}, eris.Wrap(err, "usage")
	}
	// The fields after the program's name, which is in parentheses: user and
	// system time are the 12th and 13th, resident pages the 22nd.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return usage{}, eris.New("usage: /proc stat has too few fields")
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		cpuSeconds: float64(user+system) / ticksPerSecond,
		rssBytes:   pages * int64(os.Getpagesize()),
	}, nil
}

// loopbackBytes reads how many bytes the loopback interface has carried. Each
// is counted once: what is sent there is also what is received.
func loopbackBytes() (int64, error) {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0, eris.Wrap(err, "loopback")
	}
	for line := range strings.Lines(string(data)) {
		name, counters, found := strings.Cut(strings.TrimSpace(line), ":")
		fields := strings.Fields(counters)
		if found && name == "lo" && len(fields) > 0 {
			return strconv.ParseInt(fields[0], 10, 64)
		}
	}
	return 0, eris.New("loopback: no such interface")
}

// Spread is the median and the largest of some values.
type Spread struct {
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Spread{Median: sorted[len(sorted)/2], Max: sorted[len(sorted)-1]}
}
