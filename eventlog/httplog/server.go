package httplog

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/eventlog"
)

// maxWait bounds how long a read waits for a record.
const maxWait = time.Minute

// NewHandler returns a handler that serves log over HTTP. It has the paths
// /streams/{stream} and /streams/{stream}/records.
func NewHandler(log eventlog.Log) http.Handler {
	s := server{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.append)
	mux.HandleFunc("GET /streams/{stream}/records", s.read)
	mux.HandleFunc("GET /streams/{stream}", s.bounds)
	return mux
}

type server struct {
	log eventlog.Log
}

func (s server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "record too large", http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.log.Append(r.Context(), streamFrom(r), data)
	writeResult(w, appendResult{Offset: offset}, err)
}

func (s server) read(w http.ResponseWriter, r *http.Request) {
	from, fromErr := strconv.ParseUint(r.FormValue("from"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if fromErr != nil || waitErr != nil || wait < 0 {
		http.Error(w, "from and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	limit := min(time.Duration(wait)*time.Millisecond, maxWait)
	records, err := s.log.Read(r.Context(), streamFrom(r), from, limit)
	writeResult(w, toWire(records), err)
}

func (s server) bounds(w http.ResponseWriter, r *http.Request) {
	bounds, err := s.log.Bounds(r.Context(), streamFrom(r))
	writeResult(w, boundsResult(bounds), err)
}

func streamFrom(r *http.Request) eventlog.Stream {
	return eventlog.Stream(r.PathValue("stream"))
}

// writeResult writes the body, or the status for the error. For any error other
// than ErrRefused and ErrExpired it aborts the connection without a response,
// as a service that is down does.
func writeResult(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(body)
	case eris.Is(err, eventlog.ErrRefused):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case eris.Is(err, eventlog.ErrExpired):
		oldest, _ := eventlog.OldestRetained(err)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(expiredResult{Oldest: oldest})
	default:
		panic(http.ErrAbortHandler)
	}
}
