package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/measure"
	"github.com/marigoldshelf/marigoldshelf/network"
)

type measureCommand struct {
	File    string   `arg:"" help:"Experiment file (JSON); examples/load.json is one."`
	Targets []string `required:"" help:"Callers' listeners, IP:port, or backend servers to measure without nodes."`
}

// Run does the experiment and prints its report as JSON.
func (c *measureCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "measure")
	}
	experiment, err := measure.Parse(data)
	if err != nil {
		return err
	}
	report, err := measure.Run(context.Background(), experiment, measure.Config{
		Targets:   c.Targets,
		Transport: hop.NewTransport(network.System{}, 0),
		Clock:     clock.System{},
	})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
