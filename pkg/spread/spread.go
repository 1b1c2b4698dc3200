// Package spread distributes configuration revisions to every process. In each data
// centre a few processes, the readers, watch the platform that holds the
// configuration. All others fetch changes from other processes, their neighbours, by
// anti-entropy, so the rate of calls to the platform does not grow with the fleet. A
// process never activates a revision below the one in force, and discards answers of
// the platform that are below the highest revision it has seen. A Node implements this
// for one process.
package spread

import (
	"math/rand/v2"
	"slices"
	"strings"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/invar"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// Default timing and limits.
const (
	DefaultInterval      = 1 * clock.Second  // between two digests that a process sends
	DefaultEpoch         = 10 * clock.Minute // after which the readers are chosen anew
	DefaultStartupWait   = 3 * clock.Second  // for digests of neighbours before a process is ready
	pollTimeout          = 40 * clock.Second // a poll unanswered for longer is treated as lost
	fetchTimeout         = 2 * clock.Second
	maxLoggedChanges     = 512 // activated changes kept to answer fetches
	readersPerDataCentre = 2
	readerCandidates     = 16 // highest-ranked processes considered as readers
	pushFanout           = 4  // processes that receive a digest after an activation
	startupAnswers       = 2  // neighbours whose digests end the startup wait early
)

// Digest summarises the configuration in force at the sender.
type Digest struct {
	Revision       uint64 `cbor:"1,keyasint"`
	Seen           uint64 `cbor:"2,keyasint"` // highest revision seen, in force or not
	Hash           string `cbor:"3,keyasint"`
	ReplyRequested bool   `cbor:"4,keyasint,omitempty"` // the receiver must answer

	// HomesUnchangedFor is how long the homes of requests (package claim) have not
	// changed according to the sender's record; 0 if it has none.
	HomesUnchangedFor clock.Millis `cbor:"5,keyasint,omitempty"`
}

// Change is the difference between two revisions of the configuration files.
type Change struct {
	From     uint64 // revision that the change applies to; 0 means that Written is the whole set
	Revision uint64 // resulting revision; 0 means no change
	Hash     string // of the whole resulting set; "" if not known
	Written  []conf.File
	Removed  []string
}

// Peer is a declared process with its data centre.
type Peer struct {
	ID         place.ID
	DataCentre string
}

// Action is an operation that the caller must carry out for a Node. Exactly one field
// is set.
type Action struct {
	Send     *SendDigest
	Fetch    *Fetch
	Poll     *Poll
	Activate *Activation
}

// SendDigest delivers a digest to a process.
type SendDigest struct {
	To     place.ID
	Digest Digest
}

// Fetch asks a process for the change after a revision.
type Fetch struct {
	From  place.ID
	After uint64
}

// Poll asks the platform for the change after a revision and waits until there is one
// (long polling).
type Poll struct {
	After uint64
}

// Activation reports a configuration that has come into force.
type Activation struct {
	Record Record
	Set    conf.Set
}

// Record is an entry of the history of revisions that came into force at a process.
type Record struct {
	Revision uint64
	Hash     string
	At       clock.Millis
	Source   string   // "platform" or "neighbour"
	Files    []string // names of the written files
	Owners   []string // owner of each of Files
}

// Alarms counts events that need an operator's attention.
type Alarms struct {
	StaleReads int // answers of the platform below a revision already seen
	Conflicts  int // revisions seen with two different contents
	Rejected   int // revisions rejected for errors in the configuration
}

// Node is the part of one process in the distribution of configurations. Set the
// exported fields before the first call. It is not safe for concurrent use.
type Node struct {
	Self        place.ID
	DataCentre  string
	Seeds       []place.ID // processes that get digests while no peers are declared
	Random      *rand.Rand
	Interval    clock.Millis // between two digests; zero means DefaultInterval
	Epoch       clock.Millis // after which the readers are chosen anew; zero means DefaultEpoch
	StartupWait clock.Millis // limit of the wait for neighbours; zero means DefaultStartupWait

	// Alive reports whether a process is considered reachable; nil means that all are.
	Alive func(id place.ID) bool
	// HomesUnchangedFor returns the value of Digest.HomesUnchangedFor in digests that
	// are sent; nil means 0.
	HomesUnchangedFor func(now clock.Millis) clock.Millis

	set              conf.Set
	revision         uint64 // in force
	highestSeen      uint64 // highest revision seen
	rejectedRevision uint64 // highest revision rejected for errors
	rejectedFindings conf.Findings
	changeLog        []Change
	history          []Record
	peers            []Peer
	localProcesses   place.Table // declared processes of DataCentre
	alarms           Alarms
	startedAt        clock.Millis
	hasStarted       bool
	ready            bool
	answeredBy       map[place.ID]bool // neighbours that have sent a digest since the start
	lastDigest       clock.Millis
	pollStarted      clock.Millis // start of the pending poll; 0 if none; see backoff
	fetchStarted     clock.Millis // start of the pending fetch; 0 if none
}

// SetPeers replaces the list of declared processes.
func (n *Node) SetPeers(peers []Peer) {
	n.peers = slices.Clone(peers)
	var members []place.Member
	for _, peer := range peers {
		if peer.DataCentre == n.DataCentre {
			members = append(members, place.Member{ID: peer.ID})
		}
	}
	n.localProcesses = place.New(members)
}

// Set returns the configuration in force.
func (n *Node) Set() conf.Set { return n.set }

// Revision returns the revision in force; 0 means none.
func (n *Node) Revision() uint64 { return n.revision }

// Seen returns the highest revision seen, in force or not.
func (n *Node) Seen() uint64 { return n.highestSeen }

// Alarms returns the counters.
func (n *Node) Alarms() Alarms { return n.alarms }

// History returns the revisions that came into force, oldest first.
func (n *Node) History() []Record { return slices.Clone(n.history) }

// Rejected returns the highest revision rejected for errors, with the findings.
func (n *Node) Rejected() (uint64, conf.Findings) { return n.rejectedRevision, n.rejectedFindings }

// Ready reports whether the process may serve: it has a configuration, which is not
// behind the highest revision seen unless that was rejected, and it has received
// enough digests or waited long enough for them. The wait guards against a platform
// that answers with a stale revision at the start of the process. Once ready, a
// process stays ready.
func (n *Node) Ready(now clock.Millis) bool {
	if n.ready {
		return true
	}
	behind := n.revision < n.highestSeen && n.rejectedRevision < n.highestSeen
	if n.revision == 0 || behind {
		return false
	}
	waited := now-n.startedAt >= n.StartupWait.Or(DefaultStartupWait)
	n.ready = waited || len(n.answeredBy) >= startupAnswers
	return n.ready
}

// Tick returns a poll of the platform and a digest for a random process, when due.
func (n *Node) Tick(now clock.Millis) []Action {
	n.start(now)
	var out []Action
	if (n.pollStarted == 0 || now-n.pollStarted > pollTimeout) && n.isReader(now) {
		n.pollStarted = now
		out = append(out, Action{Poll: &Poll{n.revision}})
	}
	if now-n.lastDigest < n.Interval.Or(DefaultInterval) {
		return out
	}
	n.lastDigest = now
	return append(out, n.sendDigests(now, 1, true)...)
}

func (n *Node) start(now clock.Millis) {
	if n.hasStarted {
		return
	}
	n.hasStarted = true
	n.startedAt = now
	n.answeredBy = make(map[place.ID]bool)
}

// sendDigests sends this node's digest to count distinct random processes.
func (n *Node) sendDigests(now clock.Millis, count int, replyRequested bool) []Action {
	targets := n.digestTargets()
	digest := n.ownDigest(now, replyRequested)
	var out []Action
	for range count {
		if len(targets) == 0 {
			break
		}
		i := n.Random.IntN(len(targets))
		out = append(out, Action{Send: &SendDigest{targets[i], digest}})
		targets = slices.Delete(targets, i, i+1)
	}
	return out
}

func (n *Node) ownDigest(now clock.Millis, replyRequested bool) Digest {
	d := Digest{Revision: n.revision, Seen: n.highestSeen, Hash: n.set.Hash(), ReplyRequested: replyRequested}
	if n.HomesUnchangedFor != nil {
		d.HomesUnchangedFor = n.HomesUnchangedFor(now)
	}
	return d
}

// digestTargets returns the other declared processes, or the seeds if none are
// declared.
func (n *Node) digestTargets() []place.ID {
	if len(n.peers) == 0 {
		return slices.Clone(n.Seeds)
	}
	var out []place.ID
	for _, peer := range n.peers {
		if peer.ID != n.Self {
			out = append(out, peer.ID)
		}
	}
	return out
}

// isReader reports whether this process watches the platform now. A process without a
// configuration always does. Otherwise the processes of the data centre are ranked by
// a hash of the epoch, and one of the first readerCandidates is a reader if fewer than
// readersPerDataCentre reachable processes rank before it.
func (n *Node) isReader(now clock.Millis) bool {
	if n.revision == 0 {
		return true
	}
	var ranked [readerCandidates]place.ID
	epoch := uint64(now / n.Epoch.Or(DefaultEpoch))
	count := n.localProcesses.Rank(epoch*0x9e3779b97f4a7c15, ranked[:])
	readers := 0
	for _, id := range ranked[:count] {
		if id == n.Self {
			return true
		}
		if n.alive(id) {
			readers++
		}
		if readers == readersPerDataCentre {
			return false
		}
	}
	return false
}

func (n *Node) alive(id place.ID) bool { return n.Alive == nil || n.Alive(id) }

// Reader reports whether this process watches the platform.
func (n *Node) Reader(now clock.Millis) bool { return n.isReader(now) }

// HandleDigest handles a neighbour's digest: it fetches a newer revision, and replies
// if asked to or if the neighbour is behind.
func (n *Node) HandleDigest(now clock.Millis, from place.ID, d Digest) []Action {
	n.start(now)
	n.answeredBy[from] = true
	n.highestSeen = max(n.highestSeen, d.Seen, d.Revision)
	var out []Action
	if d.Revision > n.revision {
		out = append(out, n.startFetch(now, from)...)
	}
	if d.Revision == n.revision && d.Revision != 0 && d.Hash != n.set.Hash() {
		n.alarms.Conflicts++
	}
	if d.ReplyRequested || d.Revision < n.revision {
		out = append(out, Action{Send: &SendDigest{from, n.ownDigest(now, false)}})
	}
	return out
}

// startFetch fetches changes from a process, unless a fetch began within fetchTimeout.
func (n *Node) startFetch(now clock.Millis, from place.ID) []Action {
	if n.fetchStarted != 0 && now-n.fetchStarted < fetchTimeout {
		return nil
	}
	n.fetchStarted = now
	return []Action{{Fetch: &Fetch{from, n.revision}}}
}

// Since returns the change from a given revision to the one in force, to answer a
// neighbour's fetch. If there is nothing newer, it returns the zero Change. If after
// is 0 or the changes since are no longer logged, it returns the whole set.
func (n *Node) Since(after uint64) Change {
	if after >= n.revision {
		return Change{}
	}
	for i := range n.changeLog {
		if n.changeLog[i].From == after && after != 0 {
			return mergeChanges(n.changeLog[i:])
		}
	}
	return Change{Revision: n.revision, Hash: n.set.Hash(), Written: n.set.Files()}
}

// mergeChanges combines consecutive changes into one.
func mergeChanges(changes []Change) Change {
	last := changes[len(changes)-1]
	out := Change{From: changes[0].From, Revision: last.Revision, Hash: last.Hash}
	written := make(map[string]conf.File)
	removed := make(map[string]bool)
	for _, change := range changes {
		for _, file := range change.Written {
			written[file.Name] = file
			delete(removed, file.Name)
		}
		for _, name := range change.Removed {
			removed[name] = true
			delete(written, name)
		}
	}
	for _, file := range written {
		out.Written = append(out.Written, file)
	}
	for name := range removed {
		out.Removed = append(out.Removed, name)
	}
	return out
}

// HandleFetch handles the result of a fetch; a failed fetch passes the zero Change.
func (n *Node) HandleFetch(now clock.Millis, change Change) []Action {
	n.start(now)
	n.fetchStarted = 0
	return n.accept(now, change, "neighbour")
}

// HandlePoll handles the result of a poll; ok is false if the poll failed.
func (n *Node) HandlePoll(now clock.Millis, change Change, ok bool) []Action {
	n.start(now)
	n.pollStarted = 0
	if !ok {
		n.pollStarted = now - pollTimeout + n.backoff()
		return nil
	}
	if change.Revision != 0 && change.Revision < n.highestSeen {
		n.alarms.StaleReads++
		n.pollStarted = now - pollTimeout + n.backoff()
		return nil
	}
	return n.accept(now, change, "platform")
}

// backoff returns the delay with jitter before the next poll after a failure. Callers
// set pollStarted such that pollTimeout expires after this delay.
func (n *Node) backoff() clock.Millis {
	interval := n.Interval.Or(DefaultInterval)
	return interval/2 + clock.Millis(n.Random.Int64N(int64(interval)))
}

// accept puts a change in force if it applies to the current revision and contains no
// errors.
func (n *Node) accept(now clock.Millis, change Change, source string) []Action {
	if change.Revision <= n.revision {
		return nil
	}
	n.highestSeen = max(n.highestSeen, change.Revision)
	if change.From != 0 && change.From != n.revision {
		return nil
	}
	base := n.set
	if change.From == 0 {
		base = conf.Set{}
	}
	set, findings := base.With(change.Written, change.Removed)
	if change.Hash != "" && set.Hash() != change.Hash {
		n.alarms.Conflicts++
		return nil
	}
	if findings.Failed() {
		n.reject(now, change.Revision, findings)
		return nil
	}
	return n.activate(now, change, set, source)
}

func (n *Node) reject(now clock.Millis, revision uint64, findings conf.Findings) {
	if revision > n.rejectedRevision {
		n.alarms.Rejected++
		n.rejectedRevision, n.rejectedFindings = revision, findings
	}
	n.pollStarted = now - pollTimeout + n.backoff()
}

func (n *Node) activate(now clock.Millis, change Change, set conf.Set, source string) []Action {
	if !invar.Holds(change.Revision > n.revision, "the configuration in force only moves forward") {
		return nil
	}
	record := Record{Revision: change.Revision, Hash: set.Hash(), At: now, Source: source}
	written := slices.Clone(change.Written)
	slices.SortFunc(written, func(a, b conf.File) int { return strings.Compare(a.Name, b.Name) })
	for _, file := range written {
		record.Files = append(record.Files, file.Name)
		record.Owners = append(record.Owners, set.Owner(file.Name))
	}
	if change.From == 0 && n.revision != 0 {
		n.changeLog = nil
	}
	change.Hash = set.Hash()
	n.changeLog = append(n.changeLog, change)
	if len(n.changeLog) > maxLoggedChanges {
		n.changeLog = slices.Clone(n.changeLog[len(n.changeLog)-maxLoggedChanges:])
	}
	n.history = append(n.history, record)
	n.set, n.revision = set, change.Revision
	return append([]Action{{Activate: &Activation{record, set}}}, n.sendDigests(now, pushFanout, false)...)
}
