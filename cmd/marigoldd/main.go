// Command marigoldd is the node: the one small process on each backend server
// host. It prints the addresses it listens on as one line of JSON, and stops
// on SIGTERM or SIGINT once what is under way has ended.
package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/eventlog/httplog"
	"github.com/marigoldshelf/marigoldshelf/logs"
	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/node"
	"github.com/marigoldshelf/marigoldshelf/settings"
)

type arguments struct {
	Settings string `arg:"" help:"Path of the settings file (JSON)."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("marigoldd"), kong.Description("The marigoldshelf node."))
	log := logs.New(os.Stderr, "node")
	if err := run(args, log); err != nil {
		log.Error("stopped", err)
		os.Exit(1)
	}
}

func run(args arguments, log *logs.Logger) error {
	checked, err := settings.Load(args.Settings)
	if err != nil {
		return err
	}
	counters, page, reporting := metrics.Scraped()
	defer reporting.Close()
	n, err := node.New(node.Options{
		Settings:    checked,
		Log:         httplog.NewClient(checked.Platform.URL, &http.Client{}),
		Clock:       clock.System{},
		Seed:        uint64(os.Getpid()),
		Board:       blackboard.New(),
		Metrics:     counters,
		MetricsPage: page,
		Logger:      log,
	})
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(n.Addresses()); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("started")
	return n.Run(ctx)
}
