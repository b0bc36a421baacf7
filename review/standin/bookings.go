package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

const (
	// patience is half the latency objective of RouteTo, after which a share of
	// the callers leave.
	patience = 300 * time.Millisecond
	// leftBound is how long after a caller has left its requests may still reach a
	// backend server.
	leftBound = 500 * time.Millisecond
	// fewRequests is the number of requests that may do so later.
	fewRequests = 10
)

// departures records when callers left and what the backend servers did later.
type departures struct {
	mu      sync.Mutex
	left    map[string]time.Time // by request ID
	arrived map[string]time.Time
	ended   map[string]time.Time
}

func newDepartures() *departures {
	return &departures{left: make(map[string]time.Time), arrived: make(map[string]time.Time), ended: make(map[string]time.Time)}
}

func (d *departures) mark(times map[string]time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := times[id]; !known {
		times[id] = time.Now()
	}
}

// leave closes a caller's connection and records it, if the close reaches the node.
func (d *departures) leave(f *fleet, c net.Conn, ids ...string) {
	_ = c.Close()
	now := time.Now()
	time.Sleep(50 * time.Millisecond)
	if !hasReached(c) {
		f.add("caller of %v left, but its close has not reached the node yet; not counted", ids)
		return
	}
	f.add("caller of %v left at %s; its close has reached the node", ids, f.at(now))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.left[id] = now.Add(50 * time.Millisecond)
	}
}

// runAbandonedBookings plays callers of whom three in ten leave while their booking
// waits for a slot of a busy service. Requests whose caller has left must not reach
// a backend server over half a second later. Only those that reach it whole, and so
// begin to run, are counted.
func runAbandonedBookings(f *fleet, trouble bool) (broken bool, err error) {
	// Two backend servers of six slots run eight bookings a second.
	const bookingTime = 1500 * time.Millisecond
	d := newDepartures()
	handle := func(b *backend, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(names.ID)
		f.add("%s reaches backend %s", id, b.host.name)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			f.add("backend %s got %d bytes of %s, then: %v", b.host.name, n, id, err)
			return
		}
		d.mark(d.arrived, id)
		f.add("backend %s runs %s with %d bytes", b.host.name, id, n)
		done := b.work(r, bookingTime)
		f.add("backend %s ends %s, complete %t", b.host.name, id, done)
		if done {
			b.answer(w, "answer")
		}
	}
	route := standin.RouteTo("studio", "/book/", "non_idempotent")
	route["timeout"] = "5000ms"
	if err := f.start(6, handle, route); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	for i := range 320 {
		h := f.hosts[i%len(f.hosts)]
		q := request{method: http.MethodPost, path: "/book/x", id: fmt.Sprintf("b%d", i), deadline: 5 * time.Second, bodyBytes: 300}
		leaves := trouble && i%10 < 3
		group.Go(func() { f.bookOrLeave(h, q, leaves, d) })
		time.Sleep(60 * time.Millisecond)
	}
	group.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	late := 0
	for id, left := range d.left {
		if arrived, found := d.arrived[id]; found && arrived.After(left.Add(leftBound)) {
			late++
			f.add("%s reached a backend server %.3f s after its caller had left", id, arrived.Sub(left).Seconds())
		}
	}
	f.result("%d callers left, %d of their requests reached a backend server over half a second later", len(d.left), late)
	return late > fewRequests, nil
}

// bookOrLeave sends a booking. A caller that leaves does so after its patience, if it
// has no answer by then.
func (f *fleet) bookOrLeave(h *host, q request, leaves bool, d *departures) {
	c, err := h.dial()
	if err != nil {
		return
	}
	defer c.Close()
	f.add("caller at %s sends %s of %d bytes", h.name, q.id, q.bodyBytes)
	if _, err := io.WriteString(c, q.text()); err != nil {
		return
	}
	wait := q.deadline
	if leaves {
		wait = patience
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	a := readAnswer(bufio.NewReader(c), q.method)
	if leaves && a.status == 0 {
		d.leave(f, c, q.id)
		return
	}
	f.add("caller at %s: %s has status %d", h.name, q.id, a.status)
}

// hasReached reports whether the close of a caller's connection has arrived at the
// node: the node's end of it is in the state CLOSE_WAIT or closed.
func hasReached(c net.Conn) bool {
	const closeWait = "08"
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	local, remote := procAddress(c.RemoteAddr()), procAddress(c.LocalAddr())
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[1] == local && fields[2] == remote {
			return fields[3] == closeWait
		}
	}
	return true
}

// procAddress returns an address in the format of /proc/net/tcp on a little-endian
// machine.
func procAddress(a net.Addr) string {
	host, portText, _ := net.SplitHostPort(a.String())
	ip := net.ParseIP(host).To4()
	port, _ := strconv.Atoi(portText)
	reversed := []byte{ip[3], ip[2], ip[1], ip[0]}
	return strings.ToUpper(hex.EncodeToString(reversed)) + fmt.Sprintf(":%04X", port)
}
