// Command dogwood runs the load balancer's daemons and its tools for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dogwoodlanding.example/dogwood/internal/agent"
	"dogwoodlanding.example/dogwood/internal/entry"
	"dogwoodlanding.example/dogwood/internal/setup"
	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"
)

// settingsArgs are the arguments of the daemons.
type settingsArgs struct {
	Settings string `arg:"--settings,required" help:"JSON settings file"`
}

// folderArgs are the arguments of commands on a configuration folder.
type folderArgs struct {
	Dir string `arg:"positional,required" help:"configuration folder"`
}

// args holds the arguments of the selected subcommand; the others are nil.
type args struct {
	Balancer *settingsArgs `arg:"subcommand:balancer" help:"run a balancer on an entry host"`
	Agent    *settingsArgs `arg:"subcommand:agent" help:"run an agent beside a backend server"`
	Check    *folderArgs   `arg:"subcommand:check" help:"check a configuration folder"`
	Show     *folderArgs   `arg:"subcommand:show" help:"print the merged configuration with files and owners"`
	Explain  *explainArgs  `arg:"subcommand:explain" help:"print in which order agents are asked for a flow"`
	Status   *statusArgs   `arg:"subcommand:status" help:"print the state of every process of a fleet"`
	Report   *reportArgs   `arg:"subcommand:report" help:"report how fast each service spends its error budget"`
}

// Description returns the text that go-arg prints above the usage.
func (args) Description() string {
	return "dogwood is a layer-4 load balancer for operators who are accountable for mishandled traffic."
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	code, err := run(a, parser)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// run executes the selected subcommand and returns the exit code. Without one, it
// prints the help text.
func run(a args, parser *arg.Parser) (int, error) {
	switch {
	case a.Balancer != nil:
		return runDaemon(a.Balancer.Settings, runBalancer)
	case a.Agent != nil:
		return runDaemon(a.Agent.Settings, runAgent)
	case a.Check != nil:
		return check(os.Stdout, a.Check.Dir)
	case a.Show != nil:
		return show(os.Stdout, a.Show.Dir)
	case a.Explain != nil:
		return explain(os.Stdout, *a.Explain)
	case a.Status != nil:
		return status(os.Stdout, *a.Status)
	case a.Report != nil:
		return burnReport(os.Stdout, *a.Report)
	}
	parser.WriteHelp(os.Stderr)
	return 2, nil
}

// gcPercent is the heap growth, in percent of the live heap, that triggers a garbage
// collection. It is below Go's default because a host has 128 MB of memory for the
// control plane.
const gcPercent = 50

// runDaemon runs a daemon with the settings file at path until SIGTERM or SIGINT. It
// returns the exit code.
func runDaemon(path string, daemon func(context.Context, string) error) (int, error) {
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon(ctx, path); err != nil {
		return 1, err
	}
	return 0, nil
}

func runBalancer(ctx context.Context, path string) error {
	settings, err := setup.ReadBalancer(path)
	if err != nil {
		return err
	}
	b := &entry.Balancer{Settings: settings, Log: newLogger(settings.Process)}
	return b.Run(ctx)
}

func runAgent(ctx context.Context, path string) error {
	settings, err := setup.ReadAgent(path)
	if err != nil {
		return err
	}
	a := &agent.Agent{Settings: settings, Log: newLogger(settings.Process)}
	return a.Run(ctx)
}

// newLogger returns the structured logger of a daemon. An invalid level means info.
func newLogger(p setup.Process) *log.Logger {
	level, err := log.ParseLevel(p.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	l := log.NewWithOptions(os.Stderr, log.Options{Level: level, ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	return l.With("process", p.Name)
}
