// Command marigoldd is the node, the proxy process that runs on each backend
// server's host. With platform kind "log" it prints its listen addresses as one
// line of JSON; with kind "store" its standard output carries the log instead. It
// reloads its settings file when the file changes. On SIGTERM or SIGINT it stops
// after the requests in flight have ended.
package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/eventlog/httplog"
	"github.com/marigoldshelf/marigoldshelf/logs"
	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/node"
	"github.com/marigoldshelf/marigoldshelf/platform"
	"github.com/marigoldshelf/marigoldshelf/settings"
)

type arguments struct {
	Settings string `arg:"" help:"Path of the settings file (JSON)."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("marigoldd"), kong.Description("The marigoldshelf node."))
	log := logs.New(os.Stderr, "node")
	if err := run(args, notifyHangups(), log); err != nil {
		log.Error("stopped", err)
		os.Exit(1)
	}
}

func run(args arguments, hangups <-chan os.Signal, log *logs.Logger) error {
	// Signals are caught before the addresses are printed: whoever reads those
	// can stop the node at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	checked, err := settings.Load(args.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(checked.MemoryLimitBytes))
	counters, page, reporter := metrics.NewPrometheus()
	defer reporter.Close()
	options := node.Options{
		Settings:    checked,
		Clock:       clock.System{},
		Seed:        rand.Uint64(),
		Board:       blackboard.New(),
		Metrics:     counters,
		MetricsPage: page,
		Logger:      log,
	}
	configurePlatform(&options)
	n, err := node.New(options)
	if err != nil {
		return err
	}
	if options.Adapter == nil {
		if err := json.NewEncoder(os.Stdout).Encode(n.Addresses()); err != nil {
			return err
		}
	}
	log.Info("started")
	go watchSettings(ctx, args.Settings, hangups, n)
	return n.Run(ctx)
}

// configurePlatform sets the options that depend on the kind of platform: the
// client of the event log, the output of log lines and events, and the adapter.
func configurePlatform(o *node.Options) {
	url := o.Settings.Platform.URL
	if o.Settings.Platform.Kind == settings.LogPlatform {
		o.Log = httplog.NewClient(url, &http.Client{})
		return
	}
	o.LogBuffer = logs.NewBoundedWriter(os.Stdout)
	o.Logger = logs.New(o.LogBuffer, "node")
	o.Events = logs.NewEvents(o.Logger, o.Clock.Now)
	adapter := platform.New(url, &http.Client{Transport: hop.NewTransport(network.System{}, 0)})
	o.Adapter = adapter
	o.Log = adapter.Log()
}
