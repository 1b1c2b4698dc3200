// Package fleet collects the states of all processes of a deployment, starting from any
// one of its hosts, and saves them as a snapshot.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/internal/admin"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"github.com/cockroachdb/errors"
)

// Limits on reading pages.
const (
	pageTimeout           = 2 * time.Second
	maxConcurrentRequests = 32 // hosts read from at the same time
)

// Snapshot holds the states of all processes of a deployment at one time. Declared lists
// them all; each is either in States or in Unreachable.
type Snapshot struct {
	At          clock.Millis
	Declared    []admin.Declared
	States      []admin.State
	Unreachable []admin.Declared
}

// Entry is an entry of the history: a revision that came into force at a process.
type Entry struct {
	Process string
	Record  spread.Record
}

// getPage reads an admin page of a host and decodes it into result.
func getPage(ctx context.Context, host, page string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", host, conf.AdminPort, page)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "create request for %s", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "get %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s returned status %s", url, response.Status)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(result), "decode %s", url)
}

// TakeSnapshot reads the states of the processes that the configuration in force at the
// given host declares. It fails only if that host cannot be read.
func TakeSnapshot(ctx context.Context, host string) (Snapshot, error) {
	s := Snapshot{At: clock.Clock{}.Now()}
	if err := getPage(ctx, host, "/hosts", &s.Declared); err != nil {
		return s, err
	}
	states := make([]*admin.State, len(s.Declared))
	forEachConcurrently(s.Declared, func(i int, d admin.Declared) {
		var state admin.State
		if getPage(ctx, d.Host, "/state", &state) == nil {
			states[i] = &state
		}
	})
	for i, state := range states {
		if state == nil {
			s.Unreachable = append(s.Unreachable, s.Declared[i])
			continue
		}
		s.States = append(s.States, *state)
	}
	return s, nil
}

// forEachConcurrently calls f for every process, up to maxConcurrentRequests at a time,
// and waits until all calls have returned.
func forEachConcurrently(declared []admin.Declared, f func(i int, d admin.Declared)) {
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentRequests)
	for i, d := range declared {
		semaphore <- struct{}{}
		wait.Go(func() {
			f(i, d)
			<-semaphore
		})
	}
	wait.Wait()
}

// History returns the revisions that came into force at the processes that the given
// host's configuration declares, in order of time. It fails only if that host cannot be
// read.
func History(ctx context.Context, host string) ([]Entry, error) {
	var declared []admin.Declared
	if err := getPage(ctx, host, "/hosts", &declared); err != nil {
		return nil, err
	}
	lists := make([][]spread.Record, len(declared))
	forEachConcurrently(declared, func(i int, d admin.Declared) {
		// A host that does not answer has no entries. Snapshots list it as unreachable.
		_ = getPage(ctx, d.Host, "/history", &lists[i])
	})
	var out []Entry
	for i, list := range lists {
		for _, record := range list {
			out = append(out, Entry{declared[i].Name, record})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Record.At < out[j].Record.At })
	return out, nil
}

// NewestRevision returns the highest revision in force at any process.
func (s Snapshot) NewestRevision() uint64 {
	newest := uint64(0)
	for _, state := range s.States {
		newest = max(newest, state.Revision)
	}
	return newest
}

// Problems returns the conditions that need an operator's attention, as sentences.
func (s Snapshot) Problems() []string {
	var out []string
	for _, d := range s.Unreachable {
		out = append(out, fmt.Sprintf("%s on %s does not answer", d.Name, d.Host))
	}
	newest := s.NewestRevision()
	for _, state := range s.States {
		out = append(out, problemsOf(state, newest)...)
	}
	return out
}

// problemsOf returns the conditions of one process that need attention. newest is the
// highest revision in force at any process.
func problemsOf(s admin.State, newest uint64) []string {
	var out []string
	addIf := func(condition bool, format string, args ...any) {
		if condition {
			out = append(out, s.Name+" "+fmt.Sprintf(format, args...))
		}
	}
	addIf(!s.Ready, "is not ready")
	addIf(!s.Leased, "has no lease: it admits, grants and runs nothing")
	addIf(s.Revision < newest, "has revision %d in force, others %d", s.Revision, newest)
	addIf(s.Rejected > s.Revision, "rejected revision %d for its errors", s.Rejected)
	addIf(s.Alarms.StaleReads > 0, "received an old revision from the platform %d times", s.Alarms.StaleReads)
	addIf(s.Alarms.Conflicts > 0, "received one revision with different contents %d times", s.Alarms.Conflicts)
	addIf(s.InvariantViolations > 0, "violated invariants %d times", s.InvariantViolations)
	return out
}

// Save writes the snapshot to a JSON file, for later reports.
func (s Snapshot) Save(path string) error {
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	return errors.Wrapf(os.WriteFile(path, raw, 0o644), "save snapshot %q", path)
}

// LoadSnapshot reads a snapshot that Save wrote.
func LoadSnapshot(path string) (Snapshot, error) {
	var s Snapshot
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Wrapf(err, "read snapshot %q", path)
	}
	return s, errors.Wrapf(json.Unmarshal(raw, &s), "decode snapshot %q", path)
}
