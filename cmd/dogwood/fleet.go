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

// lookTimeout bounds a look at the whole fleet.
const lookTimeout = 30 * time.Second

// maxPage bounds a metrics page in bytes; the packet path serves some ten thousand.
const maxPage = 4 << 20

// statusArgs are the arguments of status.
type statusArgs struct {
	From    string `arg:"--from,required" help:"IP number of any host of the fleet"`
	History bool   `arg:"--history" help:"list which configuration came into force where and when"`
	JSON    bool   `arg:"--json" help:"print JSON"`
}

// status prints the fleet and exits with 1 if there is something to look at.
func status(w io.Writer, a statusArgs) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	if a.History {
		return history(ctx, w, a)
	}
	snapshot, err := fleet.Look(ctx, a.From)
	if err != nil {
		return 2, err
	}
	troubles := snapshot.Troubles()
	if a.JSON {
		return exitCode(troubles), printJSON(w, snapshot)
	}
	printStates(w, snapshot)
	for _, t := range troubles {
		fmt.Fprintln(w, "!", t)
	}
	return exitCode(troubles), nil
}

func exitCode(troubles []string) int {
	if len(troubles) > 0 {
		return 1
	}
	return 0
}

func printStates(w io.Writer, s fleet.Snapshot) {
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
		fmt.Fprintf(w, "%s %-16s revision %d hash %s from the %s: %s\n", r.At.Time().Format(time.RFC3339Nano), e.Process, r.Revision, r.Hash, r.Source, filesOf(r.Files, r.Owners))
	}
	return 0, nil
}

func filesOf(files, owners []string) string {
	parts := make([]string, len(files))
	for i := range files {
		parts[i] = files[i] + " (" + owners[i] + ")"
	}
	return strings.Join(parts, ", ")
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print JSON")
}

// reportArgs are the arguments of report.
type reportArgs struct {
	From      string   `arg:"--from" help:"IP number of any host of the fleet"`
	Snapshot  string   `arg:"--snapshot" help:"report on this saved snapshot instead"`
	Pages     []string `arg:"--pages" help:"report on these metrics pages of the packet path instead: files or http URLs"`
	Objective float64  `arg:"--objective" default:"99.9" help:"share of good events in percent, with --pages"`
	Save      string   `arg:"--save" help:"save the snapshot to this file"`
	Compare   string   `arg:"--compare" help:"tell the change since this saved snapshot"`
	Format    string   `arg:"--format" default:"text" help:"text, json or html"`
	Out       string   `arg:"--out" help:"write to this file"`
}

// burnReport prints the service-level burn of a fleet.
func burnReport(w io.Writer, a reportArgs) (int, error) {
	r, err := a.report()
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
	if err := a.write(w, r); err != nil {
		return 2, err
	}
	return 0, nil
}

// report computes the report, and saves the snapshot that it is made of if wanted.
func (a reportArgs) report() (report.Report, error) {
	if len(a.Pages) > 0 {
		return a.fromPages()
	}
	snapshot, err := a.snapshot()
	if err == nil && a.Save != "" {
		err = snapshot.Save(a.Save)
	}
	if err != nil {
		return report.Report{}, err
	}
	return report.New(snapshot), nil
}

func (a reportArgs) fromPages() (report.Report, error) {
	if a.Save != "" || a.Compare != "" || a.Objective <= 0 || a.Objective >= 100 {
		return report.Report{}, errors.New("--pages takes no --save or --compare, and an --objective between 0 and 100")
	}
	var pages []io.Reader
	for _, source := range a.Pages {
		page, err := readPage(source)
		if err != nil {
			return report.Report{}, err
		}
		pages = append(pages, bytes.NewReader(page))
	}
	return report.FromPages(clock.Clock{}.Now(), a.Objective, pages...)
}

// readPage reads a metrics page from a file or an http URL.
func readPage(source string) ([]byte, error) {
	if !strings.HasPrefix(source, "http://") {
		page, err := os.ReadFile(source)
		return page, errors.Wrap(err, "read metrics page")
	}
	client := http.Client{Timeout: lookTimeout}
	response, err := client.Get(source)
	if err != nil {
		return nil, errors.Wrap(err, "get metrics page")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("metrics page %s: status %d", source, response.StatusCode)
	}
	page, err := io.ReadAll(io.LimitReader(response.Body, maxPage))
	return page, errors.Wrapf(err, "read metrics page %s", source)
}

func (a reportArgs) snapshot() (fleet.Snapshot, error) {
	switch {
	case a.Snapshot != "":
		return fleet.Load(a.Snapshot)
	case a.From != "":
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
		defer cancel()
		return fleet.Look(ctx, a.From)
	}
	return fleet.Snapshot{}, errors.New("report needs --from HOST, --snapshot FILE or --pages PAGE...")
}

func (a reportArgs) write(w io.Writer, r report.Report) error {
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
	earlier, err := fleet.Load(a.Compare)
	if err != nil {
		return err
	}
	r.Compare(w, report.New(earlier))
	return nil
}
