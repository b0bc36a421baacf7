package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

const (
	// memoryLimit is limits.memoryMb of the machines of glimt-mesh, in bytes. The
	// platform kills a process that exceeds it.
	memoryLimit = 134 << 20
	// restartDelay is the time until the platform starts a killed process again.
	restartDelay = time.Second
	// killsOfFault is how often a process ends by itself in the rule.
	killsOfFault = 3
)

// runMemory: clients at all hosts send requests of legal size with very many short
// header lines to a service with one backend server, then to another such service.
// The node beside it takes more memory than its machine has.
func runMemory(r *Record, trouble bool) (broken bool, err error) {
	var specs []HostSpec
	for i := range 18 {
		specs = append(specs, HostSpec{"oslo-" + string(rune('a'+i%3)), "storefront", 12, 180 * time.Millisecond})
	}
	specs = append(specs, HostSpec{"oslo-a", "studio", 12, 180 * time.Millisecond}, HostSpec{"oslo-b", "press", 12, 180 * time.Millisecond})
	f, err := StartFleet(specs, standin.RouteTo("studio", "/studio/", "idempotent"), standin.RouteTo("press", "/press/", "idempotent"))
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return false, err
	}
	if err := f.AwaitServing(60*time.Second, "/studio/1"); err != nil {
		return false, err
	}
	r.Print("all nodes serve")
	extra := ""
	if trouble {
		extra = headerLines(0, 15_500)
	}
	const phase, phases = 7 * time.Second, 6
	start := time.Now()
	end := start.Add(phases * phase)
	var log Log
	var group sync.WaitGroup
	for _, h := range f.Hosts {
		for n := range 24 {
			group.Go(func() {
				c := &Client{Host: h, Name: fmt.Sprintf("%s-%d", h.Name, n)}
				defer c.Close()
				for time.Now().Before(end) {
					target := "/studio/1"
					if int(time.Since(start)/phase)%2 == 1 {
						target = "/press/1"
					}
					a := c.Send(Request{Method: http.MethodGet, Target: target, Timeout: 2 * time.Second, Extra: extra})
					log.Add(a)
					if a.Status == 0 {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	var watch sync.WaitGroup
	kills, peaks := make([]int, len(f.Hosts)), make([]int, len(f.Hosts))
	ended := make([]bool, len(f.Hosts))
	for i, h := range f.Hosts {
		watch.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(10 * time.Millisecond)
				if !h.Alive() {
					ended[i] = true
					return
				}
				held := h.Memory()
				peaks[i] = max(peaks[i], held)
				if held <= memoryLimit {
					continue
				}
				kills[i]++
				r.Print("%s (%s) holds %d MB: the platform kills it", h.Name, h.Spec.Service, held>>20)
				h.Kill()
				time.Sleep(restartDelay)
				if err := h.StartNode(); err != nil {
					ended[i] = true
					return
				}
			}
		})
	}
	group.Wait()
	watch.Wait()
	statuses := make(map[int]int)
	for _, a := range log.Answers() {
		statuses[a.Status]++
	}
	r.Print("answers by status (0: none): %v", statuses)
	machines := 0
	for i, h := range f.Hosts {
		r.Print("%s (%s): peak %d MB, killed %d times, ended otherwise: %v", h.Name, h.Spec.Service, peaks[i]>>20, kills[i], ended[i])
		if kills[i] >= killsOfFault {
			machines++
		}
	}
	r.Print("%d of %d machines had their process killed %d times or more", machines, len(f.Hosts), killsOfFault)
	return machines >= max(2, (len(f.Hosts)+9)/10), nil
}

// Memory returns the memory of the node's process without the pages of its files, in
// bytes.
func (h *Host) Memory() (bytes int) {
	data, _ := os.ReadFile("/proc/" + strconv.Itoa(h.command.Process.Pid) + "/status")
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && (fields[0] == "RssAnon:" || fields[0] == "RssShmem:") {
			kilobytes, _ := strconv.Atoi(fields[1])
			bytes += kilobytes << 10
		}
	}
	return bytes
}
