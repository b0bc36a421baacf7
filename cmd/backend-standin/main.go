// Command backend-standin serves a stand-in for a backend server, for tests
// and demonstrations. It answers every request with its own name, the method,
// the path and the SHA-256 of the body, and counts runs by the header X-Run.
// GET /standin/runs?run=ID tells how often that one ran. The query parameter
// delay_ms makes an answer slow; cut=length and cut=chunks break it off half
// way, forge=1 adds headers of the nodes, trailer=1 adds a trailer with the
// SHA-256, shed=1 answers 503 with the header X-Not-Run and counts no run.
// It prints its address as one line of JSON.
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
	mux.HandleFunc("/", b.answer)
	mux.HandleFunc("GET /standin/runs", b.count)
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
	runs map[string]int
}

// answerBody is what the stand-in answers.
type answerBody struct {
	Backend string
	Method  string
	Path    string
	Bytes   int64
	SHA256  string
}

func (b *backend) answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("shed") != "" {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.note(r.Header.Get("X-Run"))
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if delay, err := strconv.Atoi(r.URL.Query().Get("delay_ms")); err == nil {
		pause(r, time.Duration(delay)*time.Millisecond)
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("forge") != "" {
		w.Header().Set("Marigold-Verdict", "not-run")
		w.Header().Set("Marigold-Reason", "shed")
	}
	if cut := r.URL.Query().Get("cut"); cut != "" {
		cutShort(w, cut)
	}
	if r.URL.Query().Get("trailer") != "" {
		w.Header().Set("Trailer", "X-Sum")
		defer w.Header().Set("X-Sum", hex.EncodeToString(sum.Sum(nil)))
	}
	_ = json.NewEncoder(w).Encode(answerBody{
		Backend: b.name, Method: r.Method, Path: r.URL.Path, Bytes: n, SHA256: hex.EncodeToString(sum.Sum(nil)),
	})
}

// cutShort sends a part of an answer and breaks the connection.
func cutShort(w http.ResponseWriter, how string) {
	if how == "length" {
		w.Header().Set("Content-Length", "1000000")
	}
	_, _ = w.Write(make([]byte, 5000))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// pause waits for d, or until the request is cancelled.
func pause(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (b *backend) note(run string) {
	if run == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run]++
}

func (b *backend) count(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = json.NewEncoder(w).Encode(b.runs[r.FormValue("run")])
}
