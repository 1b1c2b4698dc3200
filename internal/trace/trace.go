// Package trace collects what the logs of many processes say of one flow or one
// host, in the order of time.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
)

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time   string // as the process wrote it; sorts by time within a day
	Host   string
	Text   string
	Fields map[string]string
}

// Read reads the log lines of one source. Text in front of a line's time field,
// such as the name a collector writes, is skipped; lines without one are left
// out.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.Index(text, "time=")
		if at < 0 {
			continue
		}
		line, err := parse(text[at:])
		if err != nil {
			continue // a line cut short when its process was killed
		}
		out = append(out, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return out, nil
}

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

// Select keeps the lines of a flow, and the changes of belief and dependencies
// around it if wanted. A flow is named by the caller's address and port, or by
// both ends as the logs write them. The result is ordered by time.
func Select(lines []Line, flow string, beliefs bool) []Line {
	var out []Line
	for _, l := range lines {
		id, has := l.Fields["flow"]
		switch {
		case has && (id == flow || strings.HasPrefix(id, flow+"->")), !has && beliefs:
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	return out
}
