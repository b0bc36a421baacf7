package process_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
	"github.com/marigoldshelf/marigoldshelf/test/process"
)

// Bounds on the node process. The smallest host has 112 MB. A node with the
// limits of a few hundred connections has fewer descriptors than this.
const (
	maxClientMemory      = 100 << 20
	maxClientDescriptors = 900
	// maxHeadBytes is maxHeaderBytes of the stand-in's configuration.
	maxHeadBytes = 16 << 10
	// holdTime is how long the clients of a form stay connected.
	holdTime = 1000 * time.Millisecond
)

// clientForm is a kind of client that the system does not control.
type clientForm struct {
	name  string
	conns int
	// perConn is the number of times that payload is sent on each connection.
	perConn int
	payload string
	// halfClose closes the sending direction after the last byte.
	halfClose bool
	// single is one complete legal request of the form; empty if there is none.
	single string
	// reports sends to the listener for reports instead of that for callers.
	reports bool
}

// head returns a request head with as many of the header lines that line returns
// as fit into maxBytes, and the blank line.
func head(requestLine string, maxBytes int, line func(i int) string) string {
	var b strings.Builder
	b.WriteString(requestLine + " HTTP/1.1\r\nHost: shop.example\r\n" + standin.CallerHeaders("a-1", 4*time.Second))
	for i := 0; ; i++ {
		next := line(i)
		if b.Len()+len(next)+2 > maxBytes {
			break
		}
		b.WriteString(next)
	}
	return b.String() + "\r\n"
}

func noLine(int) string { return strings.Repeat("x", 1<<20) }

// shortLine is a header line with a name of three bytes that no other line has.
func shortLine(i int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz"
	return string([]byte{digits[i%26], digits[i/26%26], digits[i/676%26]}) + ":\n"
}

// unusualLine cycles through the unusual forms of header lines.
func unusualLine(i int) string {
	switch i % 5 {
	case 0:
		return "a:\n" // repeated name of one byte, empty value, bare LF
	case 1:
		return "X-F: 1\r\n \r\n 2\r\n" // folded
	case 2:
		return shortLine(i)
	case 3:
		return fmt.Sprintf("x%d:\r\n", i)
	default:
		if i%500 == 4 {
			return strings.Repeat("n", 2000) + fmt.Sprintf("%d: 1\r\n", i)
		}
		return "b:\n"
	}
}

func clientForms() []clientForm {
	simple := head("GET /", maxHeadBytes, noLine)
	short := head("GET /", maxHeadBytes, shortLine)
	oneByte := head("GET /", maxHeadBytes, func(int) string { return "a:\n" })
	unusual := head("GET /", maxHeadBytes, unusualLine)
	large := head("GET /?response_bytes=250000", maxHeadBytes, noLine)
	post := func(field string) string {
		return head("POST /", maxHeadBytes, func(i int) string {
			if i == 0 {
				return field + "\r\n"
			}
			return noLine(i)
		})
	}
	slowBody := post("Content-Length: 65000")
	chunked := post("Transfer-Encoding: chunked\r\nTrailer: X-Sum")
	extensions := strings.Repeat("1;"+strings.Repeat("e", 2000)+"\r\na\r\n", 4)
	trailers := "0\r\nX-Sum: " + strings.Repeat("s", 1000) + "\r\n\r\n"
	const reportRequest = "PUT /instances/i-1"
	return []clientForm{
		{name: "short header lines", conns: 16, perConn: 16, payload: short, single: short},
		{name: "header lines of one byte", conns: 16, perConn: 16, payload: oneByte, single: oneByte},
		{name: "unusual header lines", conns: 16, perConn: 16, payload: unusual, single: unusual},
		{name: "unfinished heads", conns: 300, perConn: 1, payload: strings.TrimSuffix(short, "\r\n"), single: short},
		{name: "unread answers", conns: 100, perConn: 64, payload: simple, single: simple},
		{name: "unread large answers", conns: 60, perConn: 16, payload: large, single: large},
		{name: "slow bodies", conns: 700, perConn: 1, payload: slowBody + strings.Repeat("b", 64000),
			single: slowBody + strings.Repeat("b", 65000)},
		{name: "chunk extensions and trailers", conns: 100, perConn: 16, payload: chunked + extensions + trailers,
			single: chunked + extensions + trailers},
		{name: "silent", conns: 1500},
		{name: "half-closed", conns: 300, perConn: 4, payload: simple, halfClose: true, single: simple},
		{name: "reports with short header lines", conns: 100, perConn: 1, reports: true,
			payload: strings.TrimSuffix(head(reportRequest, 60<<10, shortLine), "\r\n")},
		{name: "reports with slow bodies", conns: 400, perConn: 1, reports: true,
			payload: head(reportRequest, maxHeadBytes, func(i int) string {
				if i == 0 {
					return "Content-Length: 60000\r\n"
				}
				return noLine(i)
			}) + strings.Repeat("b", 59000)},
		{name: "silent at the listener for reports", conns: 1500, reports: true},
	}
}

// connect opens the connections of a form and sends its payload without reading a
// byte. Errors are expected: the node may close any of them. The returned function
// closes them.
func (f clientForm) connect(n *process.StoreNode) (disconnect func()) {
	address := n.Callers
	if f.reports {
		address = n.Reports
	}
	return f.connectTo(address)
}

// open opens one connection of the form, nil if that fails.
func (f clientForm) open(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	if f.payload == "" {
		return conn
	}
	go func() {
		_ = conn.SetWriteDeadline(time.Now().Add(holdTime))
		_, _ = io.WriteString(conn, strings.Repeat(f.payload, f.perConn))
		if f.halfClose {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}()
	return conn
}

// sendRaw sends one request on a connection of its own and returns the status of
// the response; zero if there was none.
func sendRaw(address, request string) int {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	go func() { _, _ = io.WriteString(conn, request) }()
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0
		}
		if response.StatusCode != http.StatusContinue {
			_, _ = io.Copy(io.Discard, response.Body)
			return response.StatusCode
		}
	}
}

func ordinaryRequestSucceeds(n *process.StoreNode) bool {
	return !n.Alive() || sendRaw(n.Callers, head("GET /", maxHeadBytes, noLine)) == http.StatusOK
}

// checkProcess checks that the process runs within the bounds.
func checkProcess(t *testing.T, n testedNode) {
	t.Helper()
	must.True(t, n.Alive(), must.Sprint("the process has ended"))
	memory, descriptors := n.PeakMemory(t), n.Descriptors(t)
	t.Logf("peak memory %d MiB, %d descriptors", memory>>20, descriptors)
	must.LessEq(t, maxClientMemory, memory, must.Sprint("peak memory in bytes"))
	must.LessEq(t, maxClientDescriptors, descriptors, must.Sprint("open descriptors"))
}

// clientSettings lowers the limits on clients to a host of 112 MB. Nil means the
// defaults.
var clientSettings map[string]any

// TestUncontrolledClients sends what clients outside our control can send, one
// form at a time. It guards against a process that takes memory or descriptors
// for them without bound, and against limits that refuse a single legal request.
func TestUncontrolledClients(t *testing.T) {
	program := filepath.Join(process.BuildPrograms(t, "marigoldd"), "marigoldd")
	for _, f := range clientForms() {
		t.Run(f.name, func(t *testing.T) {
			n := process.StartStoreNode(t, program, 600*time.Millisecond, clientSettings)
			process.Eventually(t, "answer to an ordinary request", func() bool { return ordinaryRequestSucceeds(n) })
			if f.single != "" {
				must.Eq(t, http.StatusOK, sendRaw(n.Callers, f.single), must.Sprint("status of a single request of the form"))
			}
			disconnect := f.connect(n)
			defer disconnect()
			time.Sleep(holdTime)
			checkProcess(t, n)
			disconnect()
			process.Eventually(t, "answer to an ordinary request afterwards", func() bool { return ordinaryRequestSucceeds(n) })
			checkProcess(t, n)
		})
	}
}

// TestUncontrolledClientsBesideCallers sends all forms at once, with a third of
// the connections each, beside an ordinary caller. It guards against bounds that
// hold for each form but not for their sum.
func TestUncontrolledClientsBesideCallers(t *testing.T) {
	program := filepath.Join(process.BuildPrograms(t, "marigoldd"), "marigoldd")
	n := process.StartStoreNode(t, program, 600*time.Millisecond, clientSettings)
	process.Eventually(t, "answer to an ordinary request", func() bool { return ordinaryRequestSucceeds(n) })
	for _, f := range clientForms() {
		f.conns = max(1, f.conns/3)
		defer f.connect(n)()
	}
	time.Sleep(holdTime)
	checkProcess(t, n)
	process.Eventually(t, "answer to an ordinary request", func() bool { return ordinaryRequestSucceeds(n) })
	checkProcess(t, n)
}
