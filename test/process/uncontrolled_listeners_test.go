package process_test

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
	"github.com/marigoldshelf/marigoldshelf/settings"
	"github.com/marigoldshelf/marigoldshelf/test/process"
)

// nodeHeadBytes is a little less than the largest head that a node reads at the
// listeners for which the configuration states no limit.
const nodeHeadBytes = 60 << 10

// lowConnections lowers the limits on connections, so that a small crowd reaches
// them.
var lowConnections = settings.Clients{Connections: 300, ReportConnections: 100, PeerConnections: 400}

// testedNode is a node process with either kind of platform.
type testedNode interface {
	Alive() bool
	PeakMemory(*testing.T) int
	Descriptors(*testing.T) int
}

// listener is a listener of a running node.
type listener struct {
	address string
	// target is the method and path of a request that the listener serves.
	target string
	// host is the host name of the requests; empty for that of the store's routes.
	host string
	// fields are header lines that the target needs.
	fields string
	// maxHead is a little less than the largest head that is read.
	maxHead int
}

// crowd returns the forms of clients that come to a listener together.
func (l listener) crowd() []clientForm {
	// head returns a head with the listener's fields and the first line, and as many
	// of the other lines as fit.
	head := func(first string, other func(int) string) string {
		text := head(l.target, l.maxHead, func(i int) string {
			if i == 0 {
				return l.fields + first
			}
			return other(i)
		})
		if l.host != "" {
			text = strings.Replace(text, "shop.example", l.host, 1)
		}
		return text
	}
	short := head("", shortLine)
	oneByte := head("", func(int) string { return "a:\n" })
	slowBody := head("Content-Length: 60000\r\n", noLine)
	largeBody := head("Content-Length: 40000000\r\n", noLine)
	return []clientForm{
		{name: "heads", conns: 100, perConn: 4, payload: short},
		{name: "unfinished heads", conns: 120, perConn: 1, payload: strings.TrimSuffix(oneByte, "\r\n")},
		{name: "slow bodies", conns: 60, perConn: 1, payload: slowBody + strings.Repeat("b", 59000)},
		{name: "large bodies", conns: 10, perConn: 1, payload: largeBody + strings.Repeat("b", 20_000_000)},
		{name: "unread answers", conns: 30, perConn: 64, payload: head("", noLine)},
		{name: "silent", conns: 800},
	}
}

// checkCrowd sends the crowd to the listener and checks the process while the
// clients are connected and afterwards.
func checkCrowd(t *testing.T, n testedNode, l listener, ordinaryRequest func() bool) {
	t.Helper()
	process.Eventually(t, "answer to an ordinary request", ordinaryRequest)
	var group sync.WaitGroup
	var mu sync.Mutex
	var disconnects []func()
	for _, f := range l.crowd() {
		group.Go(func() {
			disconnect := f.connectTo(l.address)
			mu.Lock()
			defer mu.Unlock()
			disconnects = append(disconnects, disconnect)
		})
	}
	group.Wait()
	disconnectAll := func() {
		for _, disconnect := range disconnects {
			disconnect()
		}
	}
	defer disconnectAll()
	time.Sleep(holdTime)
	checkProcess(t, n)
	disconnectAll()
	process.Eventually(t, "answer to an ordinary request afterwards", func() bool { return !n.Alive() || ordinaryRequest() })
	checkProcess(t, n)
}

// forwardedFields are the header lines of a request that a node has forwarded to
// the backend server of the given host.
func forwardedFields(host, service string) string {
	return fmt.Sprintf("Marigold-Call: c-1\r\nMarigold-Target: %s\r\nMarigold-Service: %s\r\nMarigold-Class: lookup\r\n"+
		"Marigold-Version: 3\r\nMarigold-Timeout-Ms: 4000\r\n", host, service)
}

// TestUncontrolledClientsAtEveryListener sends all forms together to one listener
// at a time. It guards against a listener, or a kind of platform, whose clients are
// not limited.
func TestUncontrolledClientsAtEveryListener(t *testing.T) {
	program := filepath.Join(process.BuildPrograms(t, "marigoldd"), "marigoldd")
	limits := map[string]any{
		"connections":        lowConnections.Connections,
		"report_connections": lowConnections.ReportConnections,
		"peer_connections":   lowConnections.PeerConnections,
	}
	for _, name := range []string{"callers", "peers", "forwarded", "operators", "reports", "readiness"} {
		t.Run("store/"+name, func(t *testing.T) {
			n := process.StartStoreNode(t, program, 600*time.Millisecond, limits)
			l := map[string]listener{
				"callers":   {address: n.Callers, target: "POST /", maxHead: maxHeadBytes},
				"peers":     {address: n.Peers, target: "GET /approved?above=0&wait=1", maxHead: nodeHeadBytes},
				"forwarded": {address: n.Peers, target: "POST /", maxHead: nodeHeadBytes, fields: forwardedFields("fes-1", "desk")},
				"operators": {address: n.Operators, target: "GET /v1/status", maxHead: nodeHeadBytes},
				"reports":   {address: n.Reports, target: "PUT /instances/i-1", maxHead: nodeHeadBytes},
				"readiness": {address: n.Readiness, target: "GET /readiness", maxHead: nodeHeadBytes},
			}[name]
			checkCrowd(t, n, l, func() bool { return ordinaryRequestSucceeds(n) })
		})
	}
	for _, name := range []string{"callers", "peers", "control", "operators"} {
		t.Run("log/"+name, func(t *testing.T) {
			fleet := process.NewFleet(t)
			fleet.Clients = lowConnections
			n := fleet.Add("fes-1", "fes", "desk")
			release(t, n, "p1", 0, testConfig())
			l := map[string]listener{
				"callers": {address: n.Callers, target: "POST /status", maxHead: nodeHeadBytes, host: "desk.example"},
				"peers":   {address: n.Peers, target: "POST /status", maxHead: nodeHeadBytes, fields: forwardedFields("fes-1", "desk")},
				"control": {address: n.Peers, target: "POST /twirp/marigoldshelf.keys.Keys/Claim", maxHead: nodeHeadBytes,
					fields: "Content-Type: application/protobuf\r\n"},
				"operators": {address: n.Operators, target: "GET /v1/status", maxHead: nodeHeadBytes},
			}[name]
			checkCrowd(t, n.NodeProcess, l, func() bool { return logRequestSucceeds(n) })
		})
	}
}

// logRequestSucceeds sends an ordinary request to a node with platform.kind "log".
func logRequestSucceeds(n *process.Node) bool {
	return sendRaw(n.Callers, "GET /status HTTP/1.1\r\nHost: desk.example\r\n\r\n") == http.StatusOK
}

// TestLargestHeadIsServed sends single requests with heads of nearly the largest size in
// short lines. It guards against limits that refuse at the second node what the first
// has accepted: a forwarded head is longer.
func TestLargestHeadIsServed(t *testing.T) {
	fleet := process.NewFleet(t)
	n := fleet.Add("fes-1", "fes", "desk")
	release(t, n, "p1", 0, testConfig())
	process.Eventually(t, "answer to an ordinary request", func() bool { return logRequestSucceeds(n) })
	for name, line := range map[string]func(int) string{
		"different names": shortLine,
		"one name":        func(int) string { return "a:\n" },
	} {
		request := strings.Replace(head("GET /status", nodeHeadBytes, line), "shop.example", "desk.example", 1)
		must.Eq(t, http.StatusOK, sendRaw(n.Callers, request), must.Sprint(name))
	}
}

// TestUncontrolledClientsOfManyHosts sends large heads to all nodes of a fleet for
// a service with one backend server. It guards against memory that is limited at
// the node that reads a request and not at the node beside the backend server,
// where the requests of all nodes meet.
func TestUncontrolledClientsOfManyHosts(t *testing.T) {
	const hosts = 14
	program := filepath.Join(process.BuildPrograms(t, "marigoldd"), "marigoldd")
	fleet := process.NewStoreFleet(t, program, standin.RouteTo("desk", "/", "idempotent"))
	nodes := []*process.StoreNode{fleet.Add(t, "fes-1", "desk", 600*time.Millisecond, nil)}
	for i := 2; i <= hosts; i++ {
		nodes = append(nodes, fleet.Add(t, fmt.Sprintf("fes-%d", i), "quote", 600*time.Millisecond, nil))
	}
	for _, n := range nodes {
		process.Eventually(t, "answer to an ordinary request", func() bool { return ordinaryRequestSucceeds(n) })
	}
	form := clientForm{conns: 60, perConn: 4, payload: head("GET /", maxHeadBytes, shortLine)}
	for _, n := range nodes[1:] {
		defer form.connect(n)()
	}
	time.Sleep(holdTime)
	for _, n := range nodes {
		checkProcess(t, n)
	}
	for _, n := range nodes {
		process.Eventually(t, "answer to an ordinary request afterwards", func() bool { return ordinaryRequestSucceeds(n) })
		checkProcess(t, n)
	}
}

// TestUncontrolledBurstIsAnswered sends one short request in chunks on each of many
// connections at once, more than the node has memory for. It guards against running
// requests of ordinary callers that are cut to make room for others: each of them
// gets an answer.
func TestUncontrolledBurstIsAnswered(t *testing.T) {
	const callers = 300
	program := filepath.Join(process.BuildPrograms(t, "marigoldd"), "marigoldd")
	n := process.StartStoreNode(t, program, 600*time.Millisecond, map[string]any{"memory_bytes": 16 << 20})
	process.Eventually(t, "answer to an ordinary request", func() bool { return ordinaryRequestSucceeds(n) })
	request := head("POST /", maxHeadBytes, func(i int) string {
		if i == 0 {
			return "Transfer-Encoding: chunked\r\n"
		}
		return noLine(i)
	}) + "12c\r\n" + strings.Repeat("b", 300) + "\r\n0\r\n\r\n"
	statuses := make([]int, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { statuses[i] = sendRaw(n.Callers, request) })
	}
	group.Wait()
	counts := make(map[int]int)
	for _, status := range statuses {
		counts[status]++
	}
	t.Logf("answers by status, 0 for none: %v", counts)
	must.Eq(t, callers, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], must.Sprint("answers with status 200 or 503"))
	checkProcess(t, n)
}

// connectTo is connect with the given address.
func (f clientForm) connectTo(address string) (disconnect func()) {
	var conns []net.Conn
	for range f.conns {
		if conn := f.open(address); conn != nil {
			conns = append(conns, conn)
		}
	}
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}
