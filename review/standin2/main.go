// Command standin2 runs one case of the second review: a small deployment of the
// project's own processes on loopback addresses, with stand-ins of the platform, the
// backend servers and the clients. It exits with 1 if the rule was broken, with 0 if
// it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit bounds a run.
const timeLimit = 110 * time.Second

// cases has the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *Record, trouble bool) (broken bool, err error){
	"burst":   runBurst,
	"drain":   runDrain,
	"heads":   runHeads,
	"memory":  runMemory,
	"restart": runRestart,
}

// Record is the record of a run.
type Record struct {
	file  *os.File
	start time.Time
}

// Line writes one line.
func (r *Record) Line(format string, values ...any) {
	fmt.Fprintf(r.file, format+"\n", values...)
}

// Print writes one line to the record and to standard output.
func (r *Record) Print(format string, values ...any) {
	line := fmt.Sprintf("%6.2f s  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	fmt.Println(line)
	fmt.Fprintln(r.file, line)
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD TROUBLE")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &Record{file: file, start: time.Now()}
	go stopEarly(r)
	trouble := os.Args[3] != "0"
	r.Print("case %s, disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	status := 0
	switch {
	case err != nil:
		r.Print("the case could not run: %v", err)
		status = 2
	case broken:
		r.Print("the rule was broken")
		status = 1
	default:
		r.Print("the rule held")
	}
	_ = file.Close()
	os.Exit(status)
}

// stopEarly ends the run at a signal or at the time limit, with all processes that it
// started.
func stopEarly(r *Record) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	cause := "stopped by a signal"
	select {
	case <-stop:
	case <-time.After(timeLimit):
		cause = "the time limit has passed"
	}
	r.Print("the case could not run: %s", cause)
	killAll()
	os.Exit(2)
}
