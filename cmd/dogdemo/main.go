// Command dogdemo starts whole deployments on loopback addresses, with the real
// balancers and agents and with stand-ins for everything else. It generates load while
// hosts and data centres fail and change, and checks the load balancer's guarantees
// against what the stand-ins recorded.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/alexflint/go-arg"
)

type args struct {
	Bin      string   `arg:"--bin" default:"bin" help:"folder with the built commands"`
	Out      string   `arg:"--out" default:"out/demo" help:"folder for settings and logs"`
	Examples string   `arg:"--examples" default:"examples" help:"folder with the deployments"`
	Seed     uint64   `arg:"--seed" default:"1" help:"seed of the random choices"`
	Only     []string `arg:"--only" help:"deployments to run; all if none is named"`
}

func main() {
	var a args
	arg.MustParse(&a)
	names := a.Only
	if len(names) == 0 {
		names = []string{"polar", "vistoria"}
	}
	if !runAll(a, names) {
		os.Exit(1)
	}
}

// runAll runs the deployments concurrently and prints one line of JSON for each. It
// reports whether all ran to the end and kept every guarantee.
func runAll(a args, names []string) bool {
	results := make([]Result, len(names))
	errs := make([]error, len(names))
	var fleets []*fleet
	for _, name := range names {
		f, err := newFleet(name, a.Bin, a.Out, a.Examples+"/"+name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
		fleets = append(fleets, f)
	}
	stopOnInterrupt(fleets)
	var wait sync.WaitGroup
	for i, f := range fleets {
		wait.Go(func() {
			defer f.stopAll()
			results[i], errs[i] = runScenario(f, a.Seed)
		})
	}
	wait.Wait()
	return printResults(names, results, errs)
}

// stopOnInterrupt kills the started processes and exits on SIGINT or SIGTERM.
func stopOnInterrupt(fleets []*fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		for _, f := range fleets {
			f.stopAll()
		}
		os.Exit(1)
	}()
}

// printResults prints the results as JSON, and errors and violated guarantees to
// standard error. It reports whether there were none.
func printResults(names []string, results []Result, errs []error) bool {
	ok := true
	for i, name := range names {
		if errs[i] != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, errs[i])
			ok = false
			continue
		}
		line, _ := json.Marshal(results[i])
		fmt.Println(string(line))
		for _, guarantee := range results[i].violations() {
			fmt.Fprintf(os.Stderr, "%s: guarantee violated: %s\n", name, guarantee)
			ok = false
		}
	}
	return ok
}
