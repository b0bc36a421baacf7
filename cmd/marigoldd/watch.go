package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/marigoldshelf/marigoldshelf/node"
	"github.com/marigoldshelf/marigoldshelf/settings"
)

// watchInterval is how often the settings file is looked at: it may change
// without a signal, and a look costs one read of some hundred bytes.
const watchInterval = 2 * time.Second

// catchHangups returns where SIGHUP arrives. It stays caught to the end of the
// process: by default it would end a node that has just started, or one that is
// stopping and has requests under way.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings takes the settings file into use when it changes, with a hangup
// and without, until ctx ends. A file with faults changes nothing.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, n *node.Node) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	known, err := os.ReadFile(path)
	if err != nil {
		n.RejectReload(err)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			n.RejectReload(err)
			continue
		}
		if bytes.Equal(data, known) {
			continue
		}
		known = data
		fresh, err := settings.Parse(data)
		if err != nil {
			n.RejectReload(err)
			continue
		}
		n.Reload(fresh)
	}
}
