package main

import (
	"encoding/json"

	"github.com/alecthomas/kong"

	"github.com/marigoldshelf/marigoldshelf/queuemodel"
)

// modelCommand runs the request path's decisions against a queue model.
type modelCommand struct {
	Seed uint64 `default:"1" help:"Seed of the draws; the same seed gives the same figures."`
}

// models has the measurement of each command's name.
var models = map[string]func(uint64) []queuemodel.Figures{
	"hol":        queuemodel.HeadOfLine,
	"stragglers": queuemodel.Stragglers,
	"overload":   queuemodel.Overload,
}

// Run prints the figures of each scheme, one JSON object a line.
func (c *modelCommand) Run(l *commandLine, selected *kong.Context) error {
	encoder := json.NewEncoder(l.out)
	for _, figures := range models[selected.Selected().Name](c.Seed) {
		if err := encoder.Encode(figures); err != nil {
			return err
		}
	}
	return nil
}
