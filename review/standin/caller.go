package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one request of a caller, as it is written to the connection.
type request struct {
	method, path, id string
	deadline         time.Duration
	bodyBytes        int
}

// text returns the request in the wire format.
func (q request) text() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n",
		q.method, q.path, names.ID, q.id, names.Deadline, q.deadline.Milliseconds())
	if q.bodyBytes > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", q.bodyBytes)
	}
	return head + "\r\n" + strings.Repeat("x", q.bodyBytes)
}

// dial opens a connection to the node's address for callers.
func (h *host) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", h.ports["callers"], time.Second)
}

// answer is what a caller received.
type answer struct {
	status   int // zero if there was none
	body     string
	complete bool
	at       time.Time
}

// readAnswer reads one response.
func readAnswer(r *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{at: time.Now()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	a := answer{status: response.StatusCode, body: string(data), complete: err == nil && len(data) < 1<<20, at: time.Now()}
	return a
}

// call sends a request on a connection of its own and reads the answer until its
// deadline.
func (h *host) call(q request) answer {
	c, err := h.dial()
	if err != nil {
		return answer{at: time.Now()}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(c, q.text()); err != nil {
		return answer{at: time.Now()}
	}
	return readAnswer(bufio.NewReader(c), q.method)
}

// callSteadily sends requests one after the other until ctx ends.
func (f *fleet) callSteadily(ctx context.Context, h *host, path string) {
	for i := 0; ctx.Err() == nil; i++ {
		q := request{method: http.MethodPost, path: path, id: fmt.Sprintf("%s-%d", h.name, i), deadline: 5 * time.Second, bodyBytes: 300}
		a := h.call(q)
		f.add("caller at %s: %s has status %d", h.name, q.id, a.status)
		time.Sleep(50 * time.Millisecond)
	}
}
