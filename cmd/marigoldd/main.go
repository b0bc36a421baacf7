// Command marigoldd is the node: the one small process on each backend server
// host. It prints the addresses it listens on as one line of JSON, and stops
// on SIGTERM or SIGINT once what is under way has ended.
package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
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
	if err := run(args, catchHangups(), log); err != nil {
		log.Error("stopped", err)
		os.Exit(1)
	}
}

func run(args arguments, hangups <-chan os.Signal, log *logs.Logger) error {
	checked, err := settings.Load(args.Settings)
	if err != nil {
		return err
	}
	counters, page, reporting := metrics.Scraped()
	defer reporting.Close()
	options := node.Options{
		Settings:    checked,
		Clock:       clock.System{},
		Seed:        rand.Uint64(),
		Board:       blackboard.New(),
		Metrics:     counters,
		MetricsPage: page,
		Logger:      log,
	}
	usePlatform(&options)
	n, err := node.New(options)
	if err != nil {
		return err
	}
	if options.Adapter == nil {
		if err := json.NewEncoder(os.Stdout).Encode(n.Addresses()); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("started")
	go watchSettings(ctx, args.Settings, hangups, n)
	return n.Run(ctx)
}

// usePlatform sets up what differs between the kinds of platform: where the
// log is, and where lines about decisions go.
func usePlatform(o *node.Options) {
	url := o.Settings.Platform.URL
	if o.Settings.Platform.Kind == settings.LogPlatform {
		o.Log = httplog.NewClient(url, &http.Client{})
		return
	}
	o.LogBuffer = logs.NewBounded(os.Stdout)
	o.Logger = logs.New(o.LogBuffer, "node")
	o.Events = logs.NewEvents(o.Logger, o.Clock.Now)
	adapter := platform.New(url, &http.Client{Transport: hop.NewTransport(network.System{}, 0)})
	o.Adapter = adapter
	o.Log = adapter.Log()
}
