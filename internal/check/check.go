// Package check reads the files of dogpath check and prints the findings of package audit.
package check

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"dogwoodlanding.example/dogwood/internal/path"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/audit"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
)

// Args are the arguments of dogpath check.
type Args struct {
	File     string `arg:"positional,required" help:"configuration as it is sent to the store"`
	Against  string `arg:"--against" help:"configuration in force"`
	Servers  string `arg:"--servers" help:"the store's listing of servers, or a JSON array of their entries"`
	Settings string `arg:"--settings" help:"settings file of a balancer, for its bounds"`
	JSON     bool   `arg:"--json" help:"print a JSON array of findings"`
}

// Exit codes.
const (
	Passed = 0 // no errors
	Failed = 1
	Misuse = 2 // wrong arguments, or a file that cannot be read
)

// finding is a finding as it is printed.
type finding struct {
	Severity string
	Kind     string
	File     string
	Line     int    `json:",omitempty"`
	Path     string `json:",omitempty"`
	Reason   string
}

// String formats the finding as FILE:LINE: path: severity: reason.
func (f finding) String() string {
	text := f.File
	if f.Line > 0 {
		text = fmt.Sprintf("%s:%d", text, f.Line)
	}
	if f.Path != "" {
		text += ": " + f.Path
	}
	return fmt.Sprintf("%s: %s: %s", text, f.Severity, f.Reason)
}

// Run prints the findings on a configuration and returns the exit code. With an
// error the code is Misuse.
func Run(w io.Writer, a Args) (int, error) {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return Misuse, err
	}
	document := platform.ReadConfig(text)
	findings := rejections(a.File, audit.Error, document.Rejected)
	input, fromServers, err := readInput(a)
	if err != nil {
		return Misuse, err
	}
	if document.Config != nil {
		input.Config = *document.Config
		for _, f := range audit.Check(input) {
			out := finding{Severity: f.Severity.String(), Kind: f.Kind.String(), File: a.File, Reason: f.Reason}
			if f.Path != "" {
				out.Path, out.Line = document.Locate(f.Path)
			}
			findings = append(findings, out)
		}
	}
	code := Passed
	for _, f := range findings {
		if f.Severity == audit.Error.String() {
			code = Failed
		}
	}
	return code, printFindings(w, append(findings, fromServers...), a.JSON)
}

// readInput reads the files that a configuration is compared with. It also returns
// findings on the list of servers.
func readInput(a Args) (audit.Input, []finding, error) {
	var in audit.Input
	var findings []finding
	if a.Against != "" {
		text, err := os.ReadFile(a.Against)
		if err != nil {
			return in, nil, err
		}
		document := platform.ReadConfig(text)
		if document.Config == nil {
			return in, nil, fmt.Errorf("%s: %w", a.Against, document.Rejected[0].Err)
		}
		in.InForce = document.Config
	}
	if a.Servers != "" {
		text, err := os.ReadFile(a.Servers)
		if err != nil {
			return in, nil, err
		}
		servers, rejected, err := platform.ReadServers(clock.Millis(time.Now().UnixMilli()), text)
		if err != nil {
			return in, nil, fmt.Errorf("%s: %w", a.Servers, err)
		}
		in.Servers = servers
		findings = rejections(a.Servers, audit.Warning, rejected)
	}
	if a.Settings != "" {
		s, err := setup.ReadPathBalancer(a.Settings)
		if err != nil {
			return in, nil, err
		}
		in.Bounds = audit.Bounds{
			Evacuate: clock.Millis(s.EvacuateMs), Drain: clock.Millis(s.DrainMs), Config: clock.Millis(s.ConfigMs),
			FlowLife: (clock.Millis(s.Path.FlowLifeS) * clock.Second).Or(steer.DefaultFlowLife), StorePace: clock.Millis(path.StorePace.Milliseconds()),
		}
	}
	return in, findings, nil
}

// rejections converts what the decoder rejects to findings.
func rejections(file string, severity audit.Severity, rejected []platform.Rejection) []finding {
	var out []finding
	for _, r := range rejected {
		out = append(out, finding{severity.String(), audit.Rejected.String(), file, r.Line, r.Path, r.Err.Error()})
	}
	return out
}

// printFindings prints one finding a line, or a JSON array.
func printFindings(w io.Writer, findings []finding, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(append([]finding{}, findings...))
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}
