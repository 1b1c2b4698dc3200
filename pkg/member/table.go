// Package member implements group membership and failure detection. Each process sends
// heartbeats to a few other processes, its watchers, and is considered down once a
// majority of them votes it silent. A Table holds one process's view. Changes are
// disseminated by gossip, so the cost grows with the number of changes and not with the
// number of pairs of processes.
//
// A heartbeat acknowledged by a majority of the watchers renews the sender's lease.
// The watchers vote a process silent only after every lease they acknowledged has
// expired, so a process that others consider down no longer acts on its own.
//
// A rumour is a state record or a vote that a process still has to pass on by gossip.
// Gossip messages also carry digests, by which two processes detect and repair
// differences that the rumours left (anti-entropy).
package member

import (
	"math/rand/v2"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

//go:generate stringer -type=State -output=state_string.go

// State is the operating state that a process announces.
type State int

// States of a process.
const (
	Serving  State = iota // takes new work
	Draining              // keeps its flows, takes no new work
	Stopped               // has shut down as planned
)

// Default timing.
const (
	DefaultHeartbeat = 1 * clock.Second // interval between heartbeats
	DefaultLease     = 3 * clock.Second // validity of a lease from the sending of the heartbeat
	// DefaultSilence is the time in milliseconds without a heartbeat after which a
	// watcher votes a process silent. It must exceed the lease.
	DefaultSilence = 4500
)

// Limits of the buckets into which anti-entropy divides the processes.
const (
	maxBuckets         = 1024
	processesPerBucket = 32 // on average; exceeded only if there are maxBuckets buckets
)

// maxRumoursPerMessage is the maximum number of state records in a gossip message,
// and likewise of votes.
const maxRumoursPerMessage = 24

// StateRecord holds the state that a process last announced, with a version made of
// Instance and Sequence.
type StateRecord struct {
	ID       place.ID `cbor:"1,keyasint"`
	Instance uint64   `cbor:"2,keyasint"` // increases with each start of the process
	Sequence uint64   `cbor:"3,keyasint"` // increases with each change of state
	State    State    `cbor:"4,keyasint"`
}

// supersedes reports whether r is a newer record than other, of the same process.
func (r StateRecord) supersedes(other StateRecord) bool {
	if r.Instance != other.Instance {
		return r.Instance > other.Instance
	}
	return r.Sequence > other.Sequence
}

// Vote is a watcher's verdict on one instance of a process that it watches, the
// subject.
type Vote struct {
	Watcher         place.ID `cbor:"1,keyasint"`
	Subject         place.ID `cbor:"2,keyasint"`
	SubjectInstance uint64   `cbor:"3,keyasint"`
	WatcherInstance uint64   `cbor:"4,keyasint"`
	Sequence        uint64   `cbor:"5,keyasint"` // increases with each vote of the watcher
	Silent          bool     `cbor:"6,keyasint"` // heartbeats have stopped
}

// supersedes reports whether v is newer than other, a vote of the same watcher and
// subject.
func (v Vote) supersedes(other Vote) bool {
	if v.WatcherInstance != other.WatcherInstance {
		return v.WatcherInstance > other.WatcherInstance
	}
	return v.Sequence > other.Sequence
}

// Heartbeat announces the sender's state to a watcher, whose Ack renews the lease.
type Heartbeat struct {
	Record StateRecord  `cbor:"1,keyasint"`
	Sent   clock.Millis `cbor:"2,keyasint"` // sending time by the sender's clock
}

// Ack acknowledges a heartbeat.
type Ack struct {
	Sent clock.Millis `cbor:"1,keyasint"` // copied from the heartbeat
	Time clock.Millis `cbor:"2,keyasint"` // time of receipt by the watcher's clock
}

// Gossip carries rumours and, unless NoReply is set, the digest of one bucket.
type Gossip struct {
	Records []StateRecord `cbor:"1,keyasint,omitempty"`
	Votes   []Vote        `cbor:"2,keyasint,omitempty"`
	Bucket  int           `cbor:"3,keyasint,omitempty"`
	Digest  uint64        `cbor:"4,keyasint,omitempty"`
	NoReply bool          `cbor:"5,keyasint,omitempty"` // carries no digest and must not be answered
	Buckets int           `cbor:"6,keyasint,omitempty"` // number of buckets at the sender
}

// Send asks the caller to deliver a message to a process. Exactly one message is set.
type Send struct {
	To        place.ID
	Heartbeat *Heartbeat
	Ack       *Ack
	Gossip    *Gossip
}

// Peer is a declared process with its location.
type Peer struct {
	ID         place.ID
	DataCentre string
	Region     string // data centres of one region are the least likely to lose contact
}

// voteKey identifies the votes of one watcher on one subject.
type voteKey struct{ watcher, subject place.ID }

// Table holds one process's view of the state and reachability of the others. Set the
// exported fields before the first call. It is not safe for concurrent use.
type Table struct {
	Self              place.ID
	Instance          uint64 // raised if other processes hold a record of a later one
	Random            *rand.Rand
	HeartbeatInterval clock.Millis // zero means DefaultHeartbeat
	LeaseDuration     clock.Millis // zero means DefaultLease
	SilenceTimeout    clock.Millis // time without a heartbeat before a vote; zero means DefaultSilence

	processes         []place.ID // declared processes in the order of their identifiers
	watchGraph        watchGraph
	watched           []place.ID // processes that this one watches
	started           bool
	state             State
	recordSequence    uint64 // of this process's state record
	voteSequence      uint64 // of this process's last vote
	records           map[place.ID]StateRecord
	votes             map[voteKey]Vote
	lastHeartbeatFrom map[place.ID]clock.Millis // watched process to time of receipt
	lastAckedSend     map[place.ID]clock.Millis // watcher to the latest sending time it acknowledged
	clockOffsets      map[place.ID]clock.Millis // watcher's clock minus this process's clock
	status            map[place.ID]status
	recordSendsLeft   map[place.ID]int // rumours, with how often each is still to be sent
	voteSendsLeft     map[voteKey]int
	digests           []uint64 // of each bucket: XOR of the hashes of its records and votes
	lastDigestBucket  int
	lastHeartbeat     clock.Millis
	lastGossip        clock.Millis
	tokensRefilledAt  clock.Millis
	rumourTokens      float64      // number of rumours that may be sent now
	leasedAt          clock.Millis // start of the current uninterrupted lease
	leased            bool
}

// SetPeers replaces the declared processes.
func (t *Table) SetPeers(now clock.Millis, peers []Peer) {
	t.init(now)
	t.processes = t.processes[:0]
	for _, peer := range peers {
		t.processes = append(t.processes, peer.ID)
	}
	slices.Sort(t.processes)
	t.resizeDigests()
	t.watchGraph = newWatchGraph(peers)
	t.watched = t.watchGraph.watchedBy(t.Self)
	for _, id := range t.watched {
		if _, ok := t.lastHeartbeatFrom[id]; !ok {
			t.lastHeartbeatFrom[id] = now
		}
	}
	for id := range t.lastHeartbeatFrom {
		if !slices.Contains(t.watched, id) {
			delete(t.lastHeartbeatFrom, id)
		}
	}
	t.updateAllStatuses()
}

// updateAllStatuses updates every process that has a status entry or votes, because
// new peers may give it other watchers.
func (t *Table) updateAllStatuses() {
	for id := range t.status {
		t.updateStatus(id)
	}
	for key := range t.votes {
		t.updateStatus(key.subject)
	}
}

func (t *Table) init(now clock.Millis) {
	if t.started {
		return
	}
	t.started = true
	t.records = make(map[place.ID]StateRecord)
	t.votes = make(map[voteKey]Vote)
	t.lastHeartbeatFrom = make(map[place.ID]clock.Millis)
	t.lastAckedSend = make(map[place.ID]clock.Millis)
	t.clockOffsets = make(map[place.ID]clock.Millis)
	t.status = make(map[place.ID]status)
	t.recordSendsLeft = make(map[place.ID]int)
	t.digests = make([]uint64, 1)
	t.voteSendsLeft = make(map[voteKey]int)
	t.mergeRecord(t.ownRecord())
}

func (t *Table) ownRecord() StateRecord {
	return StateRecord{t.Self, t.Instance, t.recordSequence, t.state}
}

// SetState changes the state of this process and announces it at the next Tick.
func (t *Table) SetState(now clock.Millis, state State) {
	t.init(now)
	if state == t.state {
		return
	}
	t.state = state
	t.recordSequence++
	t.mergeRecord(t.ownRecord())
	t.lastHeartbeat = 0
}

// Watchers returns the processes that may vote on a process.
func (t *Table) Watchers(id place.ID) []place.ID { return t.watchGraph.watchers(id) }

// Tick votes on the watched processes and returns the messages that are due. Call it
// several times in each heartbeat interval.
func (t *Table) Tick(now clock.Millis) []Send {
	t.init(now)
	t.updateLease(now)
	t.voteOnWatched(now)
	t.refillRumourTokens(now)
	if now-t.lastHeartbeat < t.heartbeatInterval() {
		return t.gossipBetweenHeartbeats(now)
	}
	t.lastHeartbeat, t.lastGossip = now, now
	var out []Send
	for _, id := range t.Watchers(t.Self) {
		out = append(out, Send{To: id, Heartbeat: &Heartbeat{t.ownRecord(), now}})
	}
	return append(out, t.sendGossip(true)...)
}

// gossipBetweenHeartbeats sends rumours between two heartbeats, so that they reach a
// large fleet in a few seconds. The number of sends per rumour stays the same.
func (t *Table) gossipBetweenHeartbeats(now clock.Millis) []Send {
	if now-t.lastGossip < t.heartbeatInterval()/gossipRoundsPerHeartbeat || len(t.recordSendsLeft)+len(t.voteSendsLeft) == 0 {
		return nil
	}
	t.lastGossip = now
	return t.sendGossip(false)
}

// voteOnWatched votes on each watched process that has become silent or has resumed
// its heartbeats.
func (t *Table) voteOnWatched(now clock.Millis) {
	for _, id := range t.watched {
		t.castVote(id, now-t.lastHeartbeatFrom[id] > t.silenceTimeout())
	}
}

func (t *Table) castVote(subject place.ID, silent bool) {
	key := voteKey{t.Self, subject}
	instance := t.records[subject].Instance
	last, voted := t.votes[key]
	if voted && last.Silent == silent && last.SubjectInstance == instance {
		return
	}
	if !voted && !silent {
		return
	}
	t.voteSequence++
	t.mergeVote(Vote{t.Self, subject, instance, t.Instance, t.voteSequence, silent})
}

// HandleHeartbeat handles a heartbeat and returns its acknowledgement. If a later
// instance of the sender is on record, it returns that state record instead, so that
// the sender raises its instance.
func (t *Table) HandleHeartbeat(now clock.Millis, heartbeat Heartbeat) []Send {
	t.init(now)
	id := heartbeat.Record.ID
	t.mergeRecord(heartbeat.Record)
	if known := t.records[id]; heartbeat.Record.Instance < known.Instance {
		return []Send{{To: id, Gossip: &Gossip{Records: []StateRecord{known}, NoReply: true}}}
	}
	if !slices.Contains(t.watched, id) {
		return nil
	}
	t.lastHeartbeatFrom[id] = now
	t.castVote(id, false)
	return []Send{{To: id, Ack: &Ack{heartbeat.Sent, now}}}
}

// HandleAck handles an acknowledgement, which renews the lease and measures the
// offset of the watcher's clock.
func (t *Table) HandleAck(now clock.Millis, from place.ID, ack Ack) {
	t.init(now)
	if ack.Sent > now || ack.Sent <= t.lastAckedSend[from] {
		return
	}
	t.lastAckedSend[from] = ack.Sent
	t.clockOffsets[from] = ack.Time - (ack.Sent+now)/2
	t.updateLease(now)
}

// Leased reports whether this process holds a lease: a majority of its watchers has
// acknowledged a heartbeat sent within the lease duration. Without a lease a process
// must not admit, grant or run anything.
func (t *Table) Leased(now clock.Millis) bool {
	watchers := t.Watchers(t.Self)
	if len(watchers) == 0 {
		return len(t.processes) == 1
	}
	fresh := 0
	for _, id := range watchers {
		if sent, ok := t.lastAckedSend[id]; ok && now-sent < t.leaseDuration() {
			fresh++
		}
	}
	return fresh > len(watchers)/2
}

// LeasedFor returns how long the process has held its lease without interruption.
func (t *Table) LeasedFor(now clock.Millis) clock.Millis {
	t.updateLease(now)
	if !t.leased {
		return 0
	}
	return now - t.leasedAt
}

func (t *Table) updateLease(now clock.Millis) {
	leased := t.Leased(now)
	if leased && !t.leased {
		t.leasedAt = now
	}
	t.leased = leased
}

// ClockSkew returns the median offset of the watchers' clocks from this process's.
func (t *Table) ClockSkew() clock.Millis {
	var skews []clock.Millis
	for _, id := range t.Watchers(t.Self) {
		if skew, ok := t.clockOffsets[id]; ok {
			skews = append(skews, skew)
		}
	}
	if len(skews) == 0 {
		return 0
	}
	slices.Sort(skews)
	return skews[len(skews)/2]
}

// Alive reports whether a process is considered reachable: it has not stopped, and no
// majority of its watchers votes it silent.
func (t *Table) Alive(id place.ID) bool { return !t.status[id].down }

// State returns the last state that a process announced.
func (t *Table) State(id place.ID) State { return t.status[id].state }

// status is the part of a process's record that routing needs.
type status struct {
	down  bool // stopped or voted silent
	state State
}

// updateStatus updates the status of a process after a change of its state record,
// votes or watchers. A process that is up and serving has no entry, so the lookups
// on the packet path use an almost empty map.
func (t *Table) updateStatus(id place.ID) {
	s := status{down: t.majorityVotesSilent(id), state: t.records[id].State}
	s.down = s.down || s.state == Stopped
	if s == (status{}) {
		delete(t.status, id)
		return
	}
	t.status[id] = s
}

// majorityVotesSilent reports whether a majority of the watchers votes the current
// instance of a process silent.
func (t *Table) majorityVotesSilent(id place.ID) bool {
	watchers := t.Watchers(id)
	silent := 0
	for _, w := range watchers {
		vote, ok := t.votes[voteKey{w, id}]
		if ok && vote.Silent && vote.SubjectInstance >= t.records[id].Instance {
			silent++
		}
	}
	return silent > len(watchers)/2
}

// Record returns the newest state record of a process.
func (t *Table) Record(id place.ID) (StateRecord, bool) {
	record, ok := t.records[id]
	return record, ok
}

func (t *Table) heartbeatInterval() clock.Millis { return t.HeartbeatInterval.Or(DefaultHeartbeat) }
func (t *Table) leaseDuration() clock.Millis     { return t.LeaseDuration.Or(DefaultLease) }
func (t *Table) silenceTimeout() clock.Millis    { return t.SilenceTimeout.Or(DefaultSilence) }
