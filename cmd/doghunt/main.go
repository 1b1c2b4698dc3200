// Command doghunt is the fault soak: it runs the packet path's programs as
// processes, injects random faults and checks the promises from outside.
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

// args are the arguments.
type args struct {
	Program   string  `arg:"--program" default:"bin/dogpath" help:"the program under test"`
	Dir       string  `arg:"--dir" default:"out/hunt" help:"for logs and settings, a folder for each seed"`
	Seed      uint64  `arg:"--seed" default:"1" help:"first seed"`
	Seeds     int     `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	Seconds   float64 `arg:"--seconds" default:"20" help:"length of each run, without the calm end"`
	Balancers int     `arg:"--balancers" default:"3"`
	Servers   int     `arg:"--servers" default:"6"`
	Callers   int     `arg:"--callers" default:"12"`
	Block     byte    `arg:"--block" default:"90" help:"second byte of the loopback addresses"`
	Again     string  `arg:"--again" help:"play the seeds at the line starts of this file"`
	Verbose   bool    `arg:"--verbose" help:"print each fault"`
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

// seeds lists the seeds to play.
func (a args) seeds() ([]uint64, error) {
	var out []uint64
	if a.Again == "" {
		for i := range a.Seeds {
			out = append(out, a.Seed+uint64(i))
		}
		return out, nil
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
		out = append(out, seed)
	}
	return out, nil
}

// run plays one seed and reports whether every promise held.
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
	s := soak.Soak{Program: a.Program, Dir: dir, Seed: seed, Balancers: a.Balancers, Servers: a.Servers, Callers: a.Callers,
		Length: time.Duration(a.Seconds * float64(time.Second)), Block: a.Block, Report: report}
	result, err := s.Run()
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d flows opened, %d requests answered, %d flows refused, %d requests silent, %d failures\n",
		seed, result.Opened, result.Asked, result.Refused, result.Silent, len(result.Failures))
	for _, f := range result.Failures {
		fmt.Println("  " + f)
	}
	return len(result.Failures) == 0
}
