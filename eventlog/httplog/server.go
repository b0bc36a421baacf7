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

// maxWait bounds how long a read may be held open.
const maxWait = time.Minute

// NewHandler serves a log over HTTP.
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
	offset, err := s.log.Append(r.Context(), streamOf(r), data)
	answer(w, appendAnswer{Offset: offset}, err)
}

func (s server) read(w http.ResponseWriter, r *http.Request) {
	from, fromErr := strconv.ParseUint(r.FormValue("from"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if fromErr != nil || waitErr != nil || wait < 0 {
		http.Error(w, "from and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	limit := min(time.Duration(wait)*time.Millisecond, maxWait)
	records, err := s.log.Read(r.Context(), streamOf(r), from, limit)
	answer(w, toWire(records), err)
}

func (s server) bounds(w http.ResponseWriter, r *http.Request) {
	bounds, err := s.log.Bounds(r.Context(), streamOf(r))
	answer(w, boundsAnswer(bounds), err)
}

func streamOf(r *http.Request) eventlog.Stream {
	return eventlog.Stream(r.PathValue("stream"))
}

// answer writes the body, or the status that says what went wrong. Without an
// answer the connection is cut, as by a service that is down.
func answer(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the reader is gone.
		_ = json.NewEncoder(w).Encode(body)
	case eris.Is(err, eventlog.ErrRefused):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case eris.Is(err, eventlog.ErrExpired):
		oldest, _ := eventlog.Oldest(err)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(expiredAnswer{Oldest: oldest})
	default:
		panic(http.ErrAbortHandler)
	}
}
