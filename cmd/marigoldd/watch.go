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

// watchInterval is the interval between reads of the settings file. The file is
// polled because it can change without a SIGHUP; a poll reads a few hundred
// bytes.
const watchInterval = 2 * time.Second

// notifyHangups returns a channel that receives SIGHUP. The signal is handled
// until the process exits, since its default action would end a node that is
// still starting, or one that is stopping with requests in flight.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reloads the settings file when its content changes, until ctx
// ends. It reads the file at every SIGHUP and every watchInterval. A file that
// cannot be read or parsed is reported and leaves the settings as they are.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, n *node.Node) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	lastRead, err := os.ReadFile(path)
	if err != nil {
		n.ReloadFailed(err)
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
			n.ReloadFailed(err)
			continue
		}
		if bytes.Equal(data, lastRead) {
			continue
		}
		lastRead = data
		reloaded, err := settings.Parse(data)
		if err != nil {
			n.ReloadFailed(err)
			continue
		}
		n.Reload(reloaded)
	}
}
