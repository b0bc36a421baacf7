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

// measureCommand groups the measurement commands.
type measureCommand struct {
	Load        loadCommand        `cmd:"" help:"Send load at given rates and report what came of it."`
	Convergence convergenceCommand `cmd:"" help:"How fast a release is in force everywhere, and its cost, beside every node polling."`
	HOL         modelCommand       `cmd:"" name:"hol" help:"Bookings beside uploads, for several ways of admission."`
	Stragglers  modelCommand       `cmd:"" help:"Lookups while some backend servers are slow, for several ways of choosing."`
	Overload    modelCommand       `cmd:"" help:"Three times capacity, for several ways of admission."`
	Speeds      modelCommand       `cmd:"" help:"Backend servers of differing speed: fixed weights, without and with learned limits."`
}

type loadCommand struct {
	File    string   `arg:"" help:"Experiment file (JSON); examples/load.json is one."`
	Targets []string `required:"" help:"Callers' listeners, IP:port, or backend servers to measure without nodes."`
}

// Run runs the experiment and prints its report as JSON.
func (c *loadCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "read experiment file")
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
