package member

import (
	"math/bits"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// gossipFanout is the number of random targets in each gossip round.
const gossipFanout = 2

// rumoursPerSecond is the rate and the capacity of the token bucket that limits how
// many rumours a process sends. It keeps a burst of failures within the bandwidth
// budget for control traffic.
const rumoursPerSecond = 48

// gossipRoundsPerHeartbeat is the number of gossip rounds in a heartbeat interval
// while there are rumours to send.
const gossipRoundsPerHeartbeat = 4

// extraSendsPerRumour is how often each process sends a rumour in addition to the
// binary logarithm of the number of processes.
const extraSendsPerRumour = 3

// refillRumourTokens adds the tokens for the time since the last refill.
func (t *Table) refillRumourTokens(now clock.Millis) {
	refill := float64(now-t.tokensRefilledAt) * rumoursPerSecond / float64(clock.Second)
	t.rumourTokens = min(rumoursPerSecond, t.rumourTokens+max(0, refill))
	t.tokensRefilledAt = now
}

// sendGossip sends rumours to random processes. With withDigest set, one message also
// carries the digest of the next bucket, and is sent even if it has no rumours.
func (t *Table) sendGossip(withDigest bool) []Send {
	if len(t.processes) < 2 || t.Random == nil {
		return nil
	}
	var out []Send
	for range gossipFanout {
		to := t.processes[t.Random.IntN(len(t.processes))]
		if to == t.Self {
			continue
		}
		message := Gossip{Records: t.takeRecords(), Votes: t.takeVotes()}
		if len(message.Records)+len(message.Votes) == 0 && !withDigest {
			continue
		}
		message.NoReply = !withDigest
		if withDigest {
			withDigest = false
			t.lastDigestBucket = (t.lastDigestBucket + 1) % len(t.digests)
			message.Buckets, message.Bucket, message.Digest = len(t.digests), t.lastDigestBucket, t.digests[t.lastDigestBucket]
		}
		out = append(out, Send{To: to, Gossip: &message})
	}
	return out
}

// takeRumours selects the rumours for one message, those with the most sends left
// first, and charges them to the token bucket and to their remaining sends.
func takeRumours[K comparable](t *Table, sendsLeft map[K]int, compare func(a, b K) int) []K {
	keys := make([]K, 0, len(sendsLeft))
	for key := range sendsLeft {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		if sendsLeft[a] != sendsLeft[b] {
			return sendsLeft[b] - sendsLeft[a]
		}
		return compare(a, b)
	})
	keys = keys[:min(len(keys), maxRumoursPerMessage, int(t.rumourTokens))]
	t.rumourTokens -= float64(len(keys))
	for _, key := range keys {
		if sendsLeft[key]--; sendsLeft[key] <= 0 {
			delete(sendsLeft, key)
		}
	}
	return keys
}

func (t *Table) takeRecords() []StateRecord {
	var out []StateRecord
	for _, id := range takeRumours(t, t.recordSendsLeft, compareIDs) {
		out = append(out, t.records[id])
	}
	return out
}

func (t *Table) takeVotes() []Vote {
	var out []Vote
	for _, key := range takeRumours(t, t.voteSendsLeft, compareVoteKeys) {
		out = append(out, t.votes[key])
	}
	return out
}

func compareIDs(a, b place.ID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func compareVoteKeys(a, b voteKey) int {
	if a.subject != b.subject {
		return compareIDs(a.subject, b.subject)
	}
	return compareIDs(a.watcher, b.watcher)
}

// PendingRumours returns the number of rumours that this process still has to send.
func (t *Table) PendingRumours() int { return len(t.recordSendsLeft) + len(t.voteSendsLeft) }

// HandleGossip merges the state records and votes of a gossip message. If the
// message has a digest that differs from the table's digest of that bucket, it
// returns a reply with all state records and votes of the bucket.
func (t *Table) HandleGossip(from place.ID, g Gossip) []Send {
	if !t.started {
		return nil
	}
	for _, record := range g.Records {
		t.mergeRecord(record)
	}
	for _, vote := range g.Votes {
		t.mergeVote(vote)
	}
	if g.NoReply || g.Buckets != len(t.digests) || g.Bucket < 0 || g.Bucket >= g.Buckets || g.Digest == t.digests[g.Bucket] {
		return nil
	}
	reply := Gossip{NoReply: true}
	for id, record := range t.records {
		if t.bucketOf(id) == g.Bucket {
			reply.Records = append(reply.Records, record)
		}
	}
	for key, vote := range t.votes {
		if t.bucketOf(key.subject) == g.Bucket {
			reply.Votes = append(reply.Votes, vote)
		}
	}
	return []Send{{To: from, Gossip: &reply}}
}

// sendsPerRumour returns how often this process sends each rumour.
func (t *Table) sendsPerRumour() int { return extraSendsPerRumour + bits.Len(uint(len(t.processes))) }

// mergeRecord merges a state record and, if it is newer than the one held, queues it
// as a rumour.
func (t *Table) mergeRecord(record StateRecord) {
	if record.ID == t.Self && record != t.ownRecord() {
		t.refute(record)
		return
	}
	old, known := t.records[record.ID]
	if known && !record.supersedes(old) {
		return
	}
	t.digests[t.bucketOf(record.ID)] ^= old.hash() ^ record.hash()
	t.records[record.ID] = record
	t.recordSendsLeft[record.ID] = t.sendsPerRumour()
	t.updateStatus(record.ID)
}

// refute supersedes a newer state record of this process that it did not issue
// itself. An earlier process of the same name may have run with a clock that was
// ahead, so the instance is raised above any that other processes hold.
func (t *Table) refute(record StateRecord) {
	if !record.supersedes(t.ownRecord()) {
		return
	}
	if record.Instance == t.Instance {
		t.recordSequence = record.Sequence + 1
	} else {
		t.Instance = record.Instance + 1
	}
	t.mergeRecord(t.ownRecord())
	t.lastHeartbeat = 0
}

// mergeVote merges a vote and, if it is newer than the one held, queues it as a
// rumour.
func (t *Table) mergeVote(vote Vote) {
	key := voteKey{vote.Watcher, vote.Subject}
	old, known := t.votes[key]
	if known && !vote.supersedes(old) {
		return
	}
	if vote.Watcher == t.Self && vote.WatcherInstance > t.Instance {
		t.refute(StateRecord{ID: t.Self, Instance: vote.WatcherInstance})
	}
	t.digests[t.bucketOf(vote.Subject)] ^= old.hash() ^ vote.hash()
	t.votes[key] = vote
	t.voteSendsLeft[key] = t.sendsPerRumour()
	t.updateStatus(vote.Subject)
}

func (t *Table) bucketOf(id place.ID) int { return int(id % place.ID(len(t.digests))) }

// resizeDigests adapts the number of buckets to the number of processes: few buckets
// let two processes of a small fleet compare everything within seconds, and many keep
// the content of a bucket small enough for one message in a large fleet.
func (t *Table) resizeDigests() {
	buckets := 1
	for buckets < maxBuckets && buckets*processesPerBucket < len(t.processes) {
		buckets *= 2
	}
	if buckets == len(t.digests) {
		return
	}
	t.digests = make([]uint64, buckets)
	for id, record := range t.records {
		t.digests[t.bucketOf(id)] ^= record.hash()
	}
	for key, vote := range t.votes {
		t.digests[t.bucketOf(key.subject)] ^= vote.hash()
	}
}

// hash returns the contribution of a state record to its bucket's digest, 0 for the
// zero record.
func (r StateRecord) hash() uint64 {
	return hashWords(uint64(r.ID), r.Instance, r.Sequence, uint64(r.State))
}

// hash returns the contribution of a vote to its bucket's digest, 0 for the zero
// vote.
func (v Vote) hash() uint64 {
	silent := uint64(0)
	if v.Silent {
		silent = 1
	}
	return hashWords(uint64(v.Watcher), uint64(v.Subject), v.SubjectInstance, v.WatcherInstance, v.Sequence, silent)
}

func hashWords(words ...uint64) uint64 {
	hash := uint64(0)
	for _, word := range words {
		hash = (bits.RotateLeft64(hash, 23) ^ word) * 0x9e3779b97f4a7c15
	}
	return hash
}

// stopFanout is the number of random processes that receive the announcement of a
// planned stop, in addition to the watchers.
const stopFanout = 8

// AnnounceStop announces to the watchers and to random processes that this process
// stops.
func (t *Table) AnnounceStop(now clock.Millis) []Send {
	t.SetState(now, Stopped)
	message := Gossip{Records: []StateRecord{t.ownRecord()}, NoReply: true}
	targets := t.Watchers(t.Self)
	for range min(stopFanout, len(t.processes)) {
		targets = append(targets, t.processes[t.Random.IntN(len(t.processes))])
	}
	slices.Sort(targets)
	var out []Send
	for _, to := range slices.Compact(targets) {
		if to != t.Self {
			out = append(out, Send{To: to, Gossip: &message})
		}
	}
	return out
}
