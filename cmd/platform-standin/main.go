// Command platform-standin is a fake of the platform's log service, for tests
// and demonstrations. It keeps the log in memory. PUT /faults replaces the
// injected faults by those in the body (JSON of standin.Faults). It prints its
// listen address as one line of JSON.
package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/eventlog/httplog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
)

type arguments struct {
	Listen    string        `default:"127.0.0.1:0" help:"IP:port to listen on."`
	Retention time.Duration `default:"1h" help:"Age at which records are dropped; 0 keeps all."`
	Records   int           `default:"0" help:"Records that a stream keeps; 0 keeps all."`
	Rate      int           `default:"300" help:"Appends a second; 0 is without bound."`
}

func main() {
	var args arguments
	parsed := kong.Parse(&args, kong.Name("platform-standin"))
	parsed.FatalIfErrorf(run(args))
}

func run(args arguments) error {
	store := standin.New(clock.System{}, standin.Options{
		Retention: args.Retention, MaxRecords: args.Records, AppendsPerSecond: args.Rate,
	})
	mux := http.NewServeMux()
	mux.Handle("/", httplog.NewHandler(store))
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) { setFaults(store, w, r) })
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

func setFaults(store *standin.Store, w http.ResponseWriter, r *http.Request) {
	var faults standin.Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	store.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
