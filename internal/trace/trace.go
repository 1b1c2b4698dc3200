// Package trace selects the log lines of many processes that concern one flow, ordered
// by time.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
)

// maxLine bounds the length of a log line in bytes.
const maxLine = 1 << 20

// Line is one log line in the logfmt format.
type Line struct {
	Time   string // as logged; orders lines of the same day
	Host   string // name of the host that logged the line
	Text   string // the whole line from its time field on
	Fields map[string]string
}

// Read reads a log. It skips text in front of a line's time field, such as the prefix
// that a log collector adds, and lines without a time field or that cannot be parsed.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.Index(text, "time=")
		if start < 0 {
			continue
		}
		line, err := parse(text[start:])
		if err != nil {
			continue // truncated, since its process was killed
		}
		out = append(out, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return out, nil
}

// parse parses a line that begins with its time field.
func parse(text string) (Line, error) {
	line := Line{Text: text, Fields: make(map[string]string)}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	line.Time, line.Host = line.Fields["time"], line.Fields["host"]
	return line, decoder.Err()
}

// Select returns the lines of a flow, ordered by time. The flow is given by the
// caller's address and port, or by both ends as in the logs. With includeOthers the
// result also has the lines that belong to no flow, such as changes of a process's view
// and of its dependencies.
func Select(lines []Line, flow string, includeOthers bool) []Line {
	var out []Line
	for _, l := range lines {
		id, hasFlow := l.Fields["flow"]
		switch {
		case hasFlow && (id == flow || strings.HasPrefix(id, flow+"->")), !hasFlow && includeOthers:
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	return out
}
