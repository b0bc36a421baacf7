package main

import (
	"encoding/json"

	"github.com/alecthomas/kong"

	"github.com/marigoldshelf/marigoldshelf/queuemodel"
)

// modelCommand simulates the request path's decisions against a model of queues
// on a virtual clock.
type modelCommand struct {
	Seed uint64 `default:"1" help:"Seed of the draws; the same seed gives the same figures."`
}

// models maps command names to simulations.
var models = map[string]func(uint64) []queuemodel.Figures{
	"hol":        queuemodel.HeadOfLineBlocking,
	"stragglers": queuemodel.Stragglers,
	"overload":   queuemodel.Overload,
	"speeds":     queuemodel.Speeds,
}

// Run prints the figures of each scheme, one JSON object per line.
func (c *modelCommand) Run(l *commandLine, selected *kong.Context) error {
	encoder := json.NewEncoder(l.out)
	for _, figures := range models[selected.Selected().Name](c.Seed) {
		if err := encoder.Encode(figures); err != nil {
			return err
		}
	}
	return nil
}
