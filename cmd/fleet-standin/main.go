// Command fleet-standin runs a fleet on the local machine for experiments. It
// starts platform-standin and, for each host, a backend-standin and a marigoldd,
// each as a process of its own. It releases a configuration, measures the CPU,
// memory and traffic of the idle nodes and the convergence time of further
// releases, and optionally sends load through the nodes. It prints a report as
// JSON.
//
// It is not for production, where no program of the project starts processes. It
// runs on Linux only, since it reads /proc.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Programs string        `required:"" help:"Folder with marigoldd, platform-standin and backend-standin." type:"existingdir"`
	Nodes    int           `default:"13" help:"Number of hosts, 1 to 400."`
	Zones    int           `default:"4" help:"Number of availability zones."`
	Services int           `default:"2" help:"Number of services."`
	Slots    int           `default:"6" help:"Slots of each backend server."`
	Settle   time.Duration `default:"10s" help:"Time before the measurement begins."`
	Idle     time.Duration `default:"10s" help:"Length of the measurement of idle nodes."`
	Changes  int           `default:"3" help:"Changes of configuration to time."`
	Load     string        `help:"Experiment file to run through the nodes afterwards." type:"existingfile"`
	Hold     bool          `help:"Print the addresses and keep the fleet running until SIGINT."`
}

func main() {
	var args arguments
	parsed := kong.Parse(&args, kong.Name("fleet-standin"))
	parsed.FatalIfErrorf(run(args))
}

func run(args arguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f, err := startFleet(args)
	defer f.stop()
	if err != nil {
		return err
	}
	report, err := f.measure(ctx, args)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return err
	}
	if args.Hold {
		<-ctx.Done()
	}
	return nil
}
