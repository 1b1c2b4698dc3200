// Package plat is a stand-in for the configuration service: a folder of files that can
// be read and watched over HTTP. On demand it fails or answers with an old revision. It
// counts every call.
package plat

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/internal/peer"
)

// maxWait is the longest time that a watch waits for a change.
const maxWait = 30 * time.Second

// Platform holds the folder. The zero value is empty, at revision 0.
type Platform struct {
	mutex       sync.Mutex
	revision    uint64
	files       map[string]fileEntry
	removed     map[string]uint64 // revision of the removal, by file name
	changed     chan struct{}     // closed when files or mode change; nil if no watch waits
	down        bool
	staleAnswer *peer.PlatformChange // the answer while in stale mode, else nil
	calls       uint64
	hosts       []string // see Mode
}

// fileEntry is a file with the revision that last wrote it.
type fileEntry struct {
	content  string
	revision uint64
}

// Publish is a set of files to write and remove as one revision.
type Publish struct {
	Files   []peer.PlatformFile
	Removed []string
}

// Mode sets how the platform fails. Hosts is the list of hosts that it reports, which
// may lag behind the real one.
type Mode struct {
	Down  bool // answer 503
	Stale bool // answer with the folder as it was when this was set
	Hosts []string
}

// Stats holds the current revision and the number of calls. A watch counts as one call
// however long it waits.
type Stats struct {
	Revision uint64
	Calls    uint64
}

// Handler serves the configuration service and its control interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.handleConfig)
	mux.HandleFunc("GET /v1/hosts", p.handleHosts)
	mux.HandleFunc("POST /control/publish", p.handlePublish)
	mux.HandleFunc("POST /control/mode", p.handleMode)
	mux.HandleFunc("GET /control/stats", p.handleStats)
	return mux
}

// Apply publishes a change and returns its revision.
func (p *Platform) Apply(change Publish) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.files == nil {
		p.files = make(map[string]fileEntry)
		p.removed = make(map[string]uint64)
	}
	p.revision++
	for _, file := range change.Files {
		p.files[file.Name] = fileEntry{file.Content, p.revision}
		delete(p.removed, file.Name)
	}
	for _, name := range change.Removed {
		delete(p.files, name)
		p.removed[name] = p.revision
	}
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
	return p.revision
}

// changesSince returns the files written and removed after a revision.
func (p *Platform) changesSince(after uint64) peer.PlatformChange {
	change := peer.PlatformChange{Revision: p.revision, From: after}
	if after >= p.revision {
		return change
	}
	for name, e := range p.files {
		if e.revision > after {
			change.Files = append(change.Files, peer.PlatformFile{Name: name, Content: e.content})
		}
	}
	for name, revision := range p.removed {
		if revision > after {
			change.Removed = append(change.Removed, name)
		}
	}
	return change
}

// handleConfig answers with the changes after a revision. If there are none, it waits for
// one for at most the time that the request names, in milliseconds, and maxWait.
func (p *Platform) handleConfig(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.FormValue("wait"))
	deadline := time.NewTimer(min(maxWait, time.Duration(wait)*time.Millisecond))
	defer deadline.Stop()
	countCall := true
	for {
		answer, changed, down := p.answerOrWait(after, countCall)
		countCall = false
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if changed == nil {
			writeJSON(w, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answerOrWait returns the current answer and, if there are no changes, a channel that is
// closed when files or mode change. The last result reports whether the platform is down.
func (p *Platform) answerOrWait(after uint64, countCall bool) (peer.PlatformChange, chan struct{}, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if countCall {
		p.calls++
	}
	if p.down {
		return peer.PlatformChange{}, nil, true
	}
	if p.staleAnswer != nil {
		return *p.staleAnswer, nil, false
	}
	answer := p.changesSince(after)
	if p.revision > after {
		return answer, nil, false
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return answer, p.changed, false
}

func (p *Platform) handleHosts(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	writeJSON(w, p.hosts)
}

func (p *Platform) handlePublish(w http.ResponseWriter, r *http.Request) {
	var change Publish
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, Stats{Revision: p.Apply(change)})
}

// SetMode changes how the platform fails. Watches that wait are answered anew.
func (p *Platform) SetMode(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = mode.Down
	p.hosts = mode.Hosts
	switch {
	case mode.Stale && p.staleAnswer == nil:
		answer := p.changesSince(0)
		p.staleAnswer = &answer
	case !mode.Stale:
		p.staleAnswer = nil
	}
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func (p *Platform) handleMode(w http.ResponseWriter, r *http.Request) {
	var mode Mode
	if err := json.NewDecoder(r.Body).Decode(&mode); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(mode)
	writeJSON(w, mode)
}

func (p *Platform) handleStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Stats())
}

// Stats returns the revision and the number of calls so far.
func (p *Platform) Stats() Stats {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Stats{p.revision, p.calls}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
