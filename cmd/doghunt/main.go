// Command doghunt runs the fault soak: it starts balancers and agents as processes,
// injects random faults and checks the guarantees of the load balancer from outside.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"dogwoodlanding.example/dogwood/internal/soak"
	"github.com/alexflint/go-arg"
)

// args are the command-line arguments.
type args struct {
	Program   string  `arg:"--program" default:"bin/dogpath" help:"the program under test"`
	Dir       string  `arg:"--dir" default:"out/hunt" help:"directory for logs and settings; each seed gets a subdirectory"`
	Seed      uint64  `arg:"--seed" default:"1" help:"first seed"`
	Seeds     int     `arg:"--seeds" default:"1" help:"number of consecutive seeds"`
	Seconds   float64 `arg:"--seconds" default:"20" help:"how long each run injects faults, in seconds"`
	Balancers int     `arg:"--balancers" default:"3"`
	Servers   int     `arg:"--servers" default:"6"`
	Callers   int     `arg:"--callers" default:"12"`
	Block     byte    `arg:"--block" default:"90" help:"second byte of the loopback addresses"`
	Load      bool    `arg:"--load" help:"switch on the settings for heavy load"`
	Again     string  `arg:"--again" help:"replay the seeds that the lines of this file begin with"`
	Verbose   bool    `arg:"--verbose" help:"print each injected fault"`
}

func main() {
	var a args
	arg.MustParse(&a)
	seeds, err := a.seeds()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	failed := 0
	for _, seed := range seeds {
		if !run(a, seed) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", len(seeds)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// seeds returns the seeds to run: consecutive ones, or those that a file lists.
func (a args) seeds() ([]uint64, error) {
	var list []uint64
	if a.Again == "" {
		for i := range a.Seeds {
			list = append(list, a.Seed+uint64(i))
		}
		return list, nil
	}
	text, err := os.ReadFile(a.Again)
	if err != nil {
		return nil, fmt.Errorf("read seeds: %w", err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		number, _, _ := strings.Cut(line, " ")
		if number == "" || strings.HasPrefix(number, "#") {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %q is not a seed", a.Again, i+1, number)
		}
		list = append(list, seed)
	}
	return list, nil
}

// run runs the soak with one seed and reports whether all checks passed.
func run(a args, seed uint64) bool {
	dir := filepath.Join(a.Dir, fmt.Sprint(seed))
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report := func(string, ...any) {}
	if a.Verbose {
		report = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	}
	s := soak.Soak{Program: a.Program, Dir: dir, Seed: seed, BalancerCount: a.Balancers, ServerCount: a.Servers, CallerCount: a.Callers,
		FaultDuration: time.Duration(a.Seconds * float64(time.Second)), Block: a.Block, LoadSettings: a.Load, Logf: report}
	result, err := s.Run()
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d flows opened, %d requests answered, %d flows reset, %d requests timed out, %d failures\n",
		seed, result.FlowsOpened, result.RequestsAnswered, result.FlowsReset, result.RequestsTimedOut, len(result.Failures))
	for _, f := range result.Failures {
		fmt.Println("  " + f)
	}
	return len(result.Failures) == 0
}
