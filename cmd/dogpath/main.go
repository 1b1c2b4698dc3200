// Command dogpath runs the packet path on a platform that publishes its servers
// in a store: a balancer on an entry host, or an agent beside a backend server.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dogwoodlanding.example/dogwood/internal/lines"
	"dogwoodlanding.example/dogwood/internal/path"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/internal/trace"
	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"
)

// daemonArgs are the arguments of a daemon.
type daemonArgs struct {
	Settings string `arg:"--settings,required" help:"JSON settings file"`
}

// traceArgs are the arguments of the look into logs.
type traceArgs struct {
	Flow    string   `arg:"--flow,required" help:"caller's address and port, or both ends as the logs write them"`
	Beliefs bool     `arg:"--beliefs" help:"also changes of belief and of dependencies"`
	Logs    []string `arg:"positional,required" help:"log files"`
}

// args are the sub-commands.
type args struct {
	Balancer *daemonArgs `arg:"subcommand:balancer" help:"run a balancer on an entry host"`
	Agent    *daemonArgs `arg:"subcommand:agent" help:"run an agent beside a backend server"`
	Trace    *traceArgs  `arg:"subcommand:trace" help:"collect what the logs say of one flow"`
}

// Description is printed above the usage.
func (args) Description() string {
	return "dogpath forwards the packets of callers to the backend servers that hold their flows."
}

// gcPercent keeps the heap near what is alive.
const gcPercent = 30

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := lines.New(os.Stdout)
	err := run(ctx, a, out)
	out.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run executes one sub-command.
func run(ctx context.Context, a args, out *lines.Writer) error {
	switch {
	case a.Trace != nil:
		return traceFlow(os.Stdout, *a.Trace)
	case a.Balancer != nil:
		settings, err := setup.ReadPathBalancer(a.Balancer.Settings)
		if err != nil {
			return err
		}
		b := &path.Balancer{Settings: settings, File: a.Balancer.Settings, Log: logger(settings.Path, out), Dropped: out.Dropped}
		return b.Run(ctx)
	case a.Agent != nil:
		settings, err := setup.ReadPathAgent(a.Agent.Settings)
		if err != nil {
			return err
		}
		agent := &path.Agent{Settings: settings, File: a.Agent.Settings, Log: logger(settings.Path, out), Dropped: out.Dropped}
		return agent.Run(ctx)
	}
	return nil
}

// traceFlow prints what the logs say of one flow.
func traceFlow(w io.Writer, a traceArgs) error {
	var lines []trace.Line
	for _, name := range a.Logs {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		read, err := trace.Read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	for _, l := range trace.Select(lines, a.Flow, a.Beliefs) {
		fmt.Fprintln(w, l.Text)
	}
	return nil
}

// logger makes the structured log of a daemon.
func logger(p setup.Path, out *lines.Writer) *log.Logger {
	level, err := log.ParseLevel(p.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	l := log.NewWithOptions(out, log.Options{Level: level, ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter})
	return l.With("host", p.Name)
}
