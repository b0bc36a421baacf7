package main

import (
	"encoding/json"
	"os"

	"github.com/marigoldshelf/marigoldshelf/queuemodel"
)

type simulateCommand struct {
	Name string `arg:"" enum:"hol,stragglers,overload" help:"hol, stragglers or overload."`
	Seed uint64 `default:"1" help:"Seed of the draws; the same seed gives the same figures."`
}

// Run prints the figures of each scheme, one JSON object a line.
func (c *simulateCommand) Run() error {
	runs := map[string]func(uint64) []queuemodel.Figures{
		"hol":        queuemodel.HeadOfLine,
		"stragglers": queuemodel.Stragglers,
		"overload":   queuemodel.Overload,
	}
	encoder := json.NewEncoder(os.Stdout)
	for _, figures := range runs[c.Name](c.Seed) {
		if err := encoder.Encode(figures); err != nil {
			return err
		}
	}
	return nil
}
