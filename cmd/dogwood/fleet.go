package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"dogwoodlanding.example/dogwood/internal/fleet"
	"dogwoodlanding.example/dogwood/internal/report"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"github.com/cockroachdb/errors"
)

// queryTimeout bounds reading the state of the whole fleet, or one metrics page.
const queryTimeout = 30 * time.Second

// maxMetricsPageBytes bounds how much of a metrics page is read. The packet path's
// pages have about ten thousand bytes.
const maxMetricsPageBytes = 4 << 20

// statusArgs are the arguments of status.
type statusArgs struct {
	From    string `arg:"--from,required" help:"IP address of any host of the fleet"`
	History bool   `arg:"--history" help:"list when each configuration came into force at each process"`
	JSON    bool   `arg:"--json" help:"print JSON"`
}

// status prints the state of every process and the problems found. It returns the exit
// code: 1 if there are problems, 2 if the fleet cannot be read.
func status(w io.Writer, a statusArgs) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	if a.History {
		return history(ctx, w, a)
	}
	snapshot, err := fleet.TakeSnapshot(ctx, a.From)
	if err != nil {
		return 2, err
	}
	problems := snapshot.Problems()
	if a.JSON {
		return exitCode(problems), printJSON(w, snapshot)
	}
	printTable(w, snapshot)
	for _, problem := range problems {
		fmt.Fprintln(w, "!", problem)
	}
	return exitCode(problems), nil
}

// exitCode returns 1 if there are problems, else 0.
func exitCode(problems []string) int {
	if len(problems) > 0 {
		return 1
	}
	return 0
}

// printTable prints one row for each process. The control column is the mean rate of
// control traffic, sent and received, since the process started.
func printTable(w io.Writer, s fleet.Snapshot) {
	fmt.Fprintf(w, "%-16s %-12s %-12s %8s %-20s %7s %7s %6s %9s %s\n",
		"process", "data centre", "service", "revision", "in force since", "flows", "limit", "claims", "control", "marks")
	for _, state := range s.States {
		seconds := max(1, float64(state.At)/1000-float64(state.Instance)/1000)
		rate := float64(state.ControlSentBytes+state.ControlReceivedBytes) / seconds
		var marks []string
		for mark, on := range map[string]bool{"cold": state.Cold && state.Role == "agent", "draining": state.Draining, "reader": state.Reader} {
			if on {
				marks = append(marks, mark)
			}
		}
		fmt.Fprintf(w, "%-16s %-12s %-12s %8d %-20s %7d %7d %6d %6.0fB/s %s\n",
			state.Name, state.DataCentre, state.Service, state.Revision, state.InForceSince.Time().Format(time.RFC3339),
			state.FlowsHeld, state.RequestLimit, state.ClaimsInDoubt, rate, strings.Join(marks, ","))
	}
}

// history prints the configurations that came into force, in order of time.
func history(ctx context.Context, w io.Writer, a statusArgs) (int, error) {
	entries, err := fleet.History(ctx, a.From)
	if err != nil {
		return 2, err
	}
	if a.JSON {
		return 0, printJSON(w, entries)
	}
	for _, e := range entries {
		r := e.Record
		fmt.Fprintf(w, "%s %-16s revision %d hash %s from the %s: %s\n", r.At.Time().Format(time.RFC3339Nano), e.Process, r.Revision, r.Hash, r.Source, formatFiles(r.Files, r.Owners))
	}
	return 0, nil
}

// formatFiles formats files[i] and owners[i] as a list of "FILE (OWNER)".
func formatFiles(files, owners []string) string {
	parts := make([]string, len(files))
	for i := range files {
		parts[i] = files[i] + " (" + owners[i] + ")"
	}
	return strings.Join(parts, ", ")
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON")
}

// reportArgs are the arguments of report.
type reportArgs struct {
	From      string   `arg:"--from" help:"IP address of any host of the fleet"`
	Snapshot  string   `arg:"--snapshot" help:"report on this saved snapshot instead of a running fleet"`
	Pages     []string `arg:"--pages" help:"report on these metrics pages of the packet path instead of a fleet: files or http URLs"`
	Objective float64  `arg:"--objective" default:"99.9" help:"service-level objective in percent of good events; used only with --pages"`
	Save      string   `arg:"--save" help:"save the snapshot to this file"`
	Compare   string   `arg:"--compare" help:"also print the change since this saved snapshot"`
	Format    string   `arg:"--format" default:"text" help:"output format: text, json or html"`
	Out       string   `arg:"--out" help:"write the report to this file instead of standard output"`
}

// burnReport writes a report on how fast each service spends its error budget. It
// returns the exit code.
func burnReport(w io.Writer, a reportArgs) (int, error) {
	r, err := a.buildReport()
	if err != nil {
		return 2, err
	}
	if a.Out != "" {
		file, err := os.Create(a.Out)
		if err != nil {
			return 2, errors.Wrapf(err, "create %q", a.Out)
		}
		defer file.Close()
		w = file
	}
	if err := a.writeReport(w, r); err != nil {
		return 2, err
	}
	return 0, nil
}

// buildReport computes the report. With --save, it also saves the snapshot that the
// report is computed from.
func (a reportArgs) buildReport() (report.Report, error) {
	if len(a.Pages) > 0 {
		return a.buildFromPages()
	}
	snapshot, err := a.readSnapshot()
	if err == nil && a.Save != "" {
		err = snapshot.Save(a.Save)
	}
	if err != nil {
		return report.Report{}, err
	}
	return report.FromSnapshot(snapshot), nil
}

// buildFromPages computes the report from metrics pages. It rejects --save and
// --compare, which work on snapshots.
func (a reportArgs) buildFromPages() (report.Report, error) {
	if a.Save != "" || a.Compare != "" || a.Objective <= 0 || a.Objective >= 100 {
		return report.Report{}, errors.New("--pages excludes --save and --compare, and needs an --objective between 0 and 100")
	}
	var pages []io.Reader
	for _, source := range a.Pages {
		page, err := readMetricsPage(source)
		if err != nil {
			return report.Report{}, err
		}
		pages = append(pages, bytes.NewReader(page))
	}
	return report.FromMetricsPages(clock.Clock{}.Now(), a.Objective, pages...)
}

// readMetricsPage reads a metrics page from a file or an http URL.
func readMetricsPage(source string) ([]byte, error) {
	if !strings.HasPrefix(source, "http://") {
		page, err := os.ReadFile(source)
		return page, errors.Wrap(err, "read metrics page")
	}
	client := http.Client{Timeout: queryTimeout}
	response, err := client.Get(source)
	if err != nil {
		return nil, errors.Wrap(err, "get metrics page")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("metrics page %s: status %d", source, response.StatusCode)
	}
	page, err := io.ReadAll(io.LimitReader(response.Body, maxMetricsPageBytes))
	return page, errors.Wrapf(err, "read metrics page %s", source)
}

// readSnapshot loads a saved snapshot or reads the state of a running fleet.
func (a reportArgs) readSnapshot() (fleet.Snapshot, error) {
	switch {
	case a.Snapshot != "":
		return fleet.LoadSnapshot(a.Snapshot)
	case a.From != "":
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		return fleet.TakeSnapshot(ctx, a.From)
	}
	return fleet.Snapshot{}, errors.New("report needs --from HOST, --snapshot FILE or --pages PAGE...")
}

// writeReport writes the report in the selected format and, with --compare, the change
// since an earlier snapshot.
func (a reportArgs) writeReport(w io.Writer, r report.Report) error {
	switch a.Format {
	case "text":
		r.Text(w)
	case "json":
		if err := printJSON(w, r); err != nil {
			return err
		}
	case "html":
		if err := r.HTML(w); err != nil {
			return err
		}
	default:
		return errors.Newf("format %q must be text, json or html", a.Format)
	}
	if a.Compare == "" {
		return nil
	}
	earlier, err := fleet.LoadSnapshot(a.Compare)
	if err != nil {
		return err
	}
	r.Compare(w, report.FromSnapshot(earlier))
	return nil
}
