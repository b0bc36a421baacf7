// Command standin plays one case of the review: it starts the nodes of a small
// deployment as processes of their own, with the store, the backend servers and
// the callers as stand-ins in this process, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could
// not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns whether the rule was broken. With
// trouble false it leaves out the disruption.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"endless":  runEndless,
	"late":     runLateReports,
	"bookings": runAbandonedBookings,
	"encoded":  runEncodedSlash,
	"odd":      runOddReport,
}

var errUnknownCase = errors.New("unknown case")

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "play the disruption")
	program := flag.String("node", "target/marigoldd", "the node's program")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *trouble, *program, *recordFile))
}

func play(name string, trouble bool, program, recordFile string) (status int) {
	run, found := cases[name]
	if !found {
		return fail(errUnknownCase)
	}
	record, err := newRecord(recordFile)
	if err != nil {
		return fail(err)
	}
	defer record.close()
	f, err := startFleet(program, record)
	if err != nil {
		return fail(err)
	}
	defer f.close()
	endOnSignal(f)
	broken, err := run(f, trouble)
	switch {
	case err != nil:
		record.add("could not run: %v", err)
		return fail(err)
	case broken:
		fmt.Println("the rule was broken; see " + recordFile)
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// endOnSignal ends the processes of the fleet and this one when it is stopped.
func endOnSignal(f *fleet) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		f.close()
		os.Exit(couldNotRun)
	}()
}

// couldNotRun is the exit status of a case that could not run.
const couldNotRun = 2

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return couldNotRun
}
