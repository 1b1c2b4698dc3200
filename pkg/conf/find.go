package conf

import (
	"fmt"
	"sort"
	"strings"
)

// Severity is the severity of a finding. A configuration with errors is rejected.
type Severity int

// Severities of a finding.
const (
	Error Severity = iota
	Warning
)

// Finding is an error or warning about a configuration file, with its position.
type Finding struct {
	Severity Severity
	File     string
	Line     int    // from 1
	Column   int    // from 1, in bytes
	Path     string // field path, for example "Services[0].Port"; may be empty
	Message  string
}

// String formats the finding as FILE:LINE:COL: path: message.
func (f Finding) String() string {
	text := f.Message
	if f.Severity == Warning {
		text = "warning: " + text
	}
	if f.Path != "" {
		text = f.Path + ": " + text
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, text)
}

// Findings lists all errors and warnings of a configuration. It implements error.
type Findings []Finding

// Failed reports whether any finding is an error.
func (fs Findings) Failed() bool {
	for _, f := range fs {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// Error returns all findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the findings by file, line and column, and returns them.
func (fs Findings) sorted() Findings {
	sort.SliceStable(fs, func(i, j int) bool {
		a, b := fs[i], fs[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return fs
}
