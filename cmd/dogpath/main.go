// Command dogpath runs the packet path on a platform that publishes its servers in a
// store: a balancer on an entry host, or an agent beside a backend server. It can also
// extract the log lines of one flow, and check a configuration before it is sent.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dogwoodlanding.example/dogwood/internal/check"
	"dogwoodlanding.example/dogwood/internal/logbuf"
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

// balancerArgs are the arguments of a balancer.
type balancerArgs struct {
	daemonArgs
	// RegainMs is an argument too, since programs of earlier versions, which run beside this
	// one during an upgrade, end at settings that they do not know.
	RegainMs int `arg:"--regain-ms,env:DOGPATH_REGAIN_MS" help:"RegainMs if the settings do not have it"`
}

// traceArgs are the arguments of trace.
type traceArgs struct {
	Flow    string   `arg:"--flow,required" help:"caller's ADDRESS:PORT, or both ends as in the logs"`
	Beliefs bool     `arg:"--beliefs" help:"also print the lines that concern no flow, such as changes in the state of servers and of the store"`
	Logs    []string `arg:"positional,required" help:"log files"`
}

// args holds the arguments of the selected subcommand; the others are nil.
type args struct {
	Balancer *balancerArgs `arg:"subcommand:balancer" help:"run a balancer on an entry host"`
	Agent    *daemonArgs   `arg:"subcommand:agent" help:"run an agent beside a backend server"`
	Trace    *traceArgs    `arg:"subcommand:trace" help:"print the log lines of one flow, ordered by time"`
	Check    *check.Args   `arg:"subcommand:check" help:"check a configuration before it is sent to the store"`
}

// Description returns the text that go-arg prints above the usage.
func (args) Description() string {
	return "dogpath forwards the packets of callers to the backend servers that hold their flows."
}

// gcPercent is the heap growth, in percent of the live heap, that triggers a garbage
// collection. A low value keeps the heap close to the live data.
const gcPercent = 30

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	if a.Check != nil {
		code, err := check.Run(os.Stdout, *a.Check)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(code)
	}
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := logbuf.New(os.Stdout)
	err := run(ctx, a, out)
	out.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run executes the selected subcommand.
func run(ctx context.Context, a args, out *logbuf.Writer) error {
	switch {
	case a.Trace != nil:
		return traceFlow(os.Stdout, *a.Trace)
	case a.Balancer != nil:
		settings, err := setup.ReadPathBalancer(a.Balancer.Settings)
		if err != nil {
			return err
		}
		if settings.RegainMs == 0 {
			settings.RegainMs = max(0, a.Balancer.RegainMs)
		}
		b := &path.Balancer{Settings: settings, SettingsFile: a.Balancer.Settings, Log: newLogger(settings.Path, out), DroppedLines: out.Dropped}
		return b.Run(ctx)
	case a.Agent != nil:
		settings, err := setup.ReadPathAgent(a.Agent.Settings)
		if err != nil {
			return err
		}
		agent := &path.Agent{Settings: settings, SettingsFile: a.Agent.Settings, Log: newLogger(settings.Path, out), DroppedLines: out.Dropped}
		return agent.Run(ctx)
	}
	return nil
}

// traceFlow prints the lines of several logs that concern one flow, ordered by time.
func traceFlow(w io.Writer, a traceArgs) error {
	var entries []trace.Line
	for _, name := range a.Logs {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		fileEntries, err := trace.Read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		entries = append(entries, fileEntries...)
	}
	for _, l := range trace.Select(entries, a.Flow, a.Beliefs) {
		fmt.Fprintln(w, l.Text)
	}
	return nil
}

// newLogger returns the structured logger of a daemon. An invalid level means info.
func newLogger(p setup.Path, out *logbuf.Writer) *log.Logger {
	level, err := log.ParseLevel(p.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	l := log.NewWithOptions(out, log.Options{Level: level, ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter})
	return l.With("host", p.Name)
}
