// Command backend-standin is a fake backend server for tests and demonstrations.
// It responds to every request with its name and the method, path, body length and
// body SHA-256 of the request, as JSON. It prints its listen address as one line
// of JSON.
//
// It counts the requests that it executes by the value of the header X-Run. GET
// /standin/runs?run=ID returns the count of one value.
//
// Query parameters select faults:
//
//	delay_ms=N   delays the response by N milliseconds
//	cut=length   closes the connection before Content-Length bytes are sent
//	cut=chunks   closes the connection in the middle of a chunked body
//	forge=1      adds response headers that only nodes set
//	trailer=1    adds the trailer X-Sum with the SHA-256 of the request body
//	shed=1       answers 503 with the header X-Not-Run and executes nothing
package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Listen string `default:"127.0.0.1:0" help:"IP:port to listen on."`
	Name   string `default:"backend" help:"Name that answers carry."`
}

func main() {
	var args arguments
	parsed := kong.Parse(&args, kong.Name("backend-standin"))
	parsed.FatalIfErrorf(run(args))
}

func run(args arguments) error {
	b := &backend{name: args.Name, runs: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("/", b.serveRequest)
	mux.HandleFunc("GET /standin/runs", b.serveRunCount)
	listener, err := net.Listen("tcp", args.Listen)
	if err != nil {
		return err
	}
	address := map[string]string{"Address": listener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(address); err != nil {
		return err
	}
	return http.Serve(listener, mux)
}

type backend struct {
	name string

	mu   sync.Mutex
	runs map[string]int // executed requests by the value of X-Run
}

// responseBody is the JSON body of a response. SHA256 is that of the request
// body, in hexadecimal.
type responseBody struct {
	Backend string
	Method  string
	Path    string
	Bytes   int64
	SHA256  string
}

func (b *backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("shed") != "" {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.countRun(r.Header.Get("X-Run"))
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if delay, err := strconv.Atoi(r.URL.Query().Get("delay_ms")); err == nil {
		sleep(r, time.Duration(delay)*time.Millisecond)
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("forge") != "" {
		w.Header().Set("Marigold-Verdict", "not-run")
		w.Header().Set("Marigold-Reason", "shed")
	}
	if framing := r.URL.Query().Get("cut"); framing != "" {
		truncateResponse(w, framing)
	}
	if r.URL.Query().Get("trailer") != "" {
		w.Header().Set("Trailer", "X-Sum")
		defer w.Header().Set("X-Sum", hex.EncodeToString(sum.Sum(nil)))
	}
	_ = json.NewEncoder(w).Encode(responseBody{
		Backend: b.name, Method: r.Method, Path: r.URL.Path, Bytes: n, SHA256: hex.EncodeToString(sum.Sum(nil)),
	})
}

// truncateResponse sends a part of the body and closes the connection. The body
// is framed by Content-Length if framing is "length", otherwise by chunks.
func truncateResponse(w http.ResponseWriter, framing string) {
	if framing == "length" {
		w.Header().Set("Content-Length", "1000000")
	}
	_, _ = w.Write(make([]byte, 5000))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sleep waits for d or until the request is canceled.
func sleep(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (b *backend) countRun(run string) {
	if run == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run]++
}

func (b *backend) serveRunCount(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = json.NewEncoder(w).Encode(b.runs[r.FormValue("run")])
}
