// Package burn counts good and bad events by the minute and tells how fast a
// service spends its error budget over several windows.
package burn

import "dogwoodlanding.example/dogwood/pkg/clock"

//go:generate stringer -type=Kind -output=kind_string.go

// Kind classifies an event against the service-level objective.
type Kind int

// Kinds of events.
const (
	Good          Kind = iota // answered in time, or a flow opened
	BrokenFlow                // a packet of a flow that no server holds
	RefusedWork               // a request or flow that was not run
	UnknownResult             // a request that may have run
	LateAnswer                // an answer after the deadline
	kindCount
)

// KindCount is the number of kinds.
const KindCount = int(kindCount)

// minutesKept covers the longest window.
const minutesKept = 6 * 60

// Bucket counts the events of one minute.
type Bucket struct {
	Minute int64 // since the Unix epoch
	Counts [KindCount]uint64
}

// Log keeps the buckets of the last six hours. The zero value is empty.
type Log struct {
	buckets [minutesKept]Bucket
}

// Add counts events of one kind.
func (l *Log) Add(now clock.Millis, kind Kind, count uint64) {
	if count == 0 {
		return
	}
	minute := int64(now / clock.Minute)
	bucket := &l.buckets[minute%minutesKept]
	if bucket.Minute != minute {
		*bucket = Bucket{Minute: minute}
	}
	bucket.Counts[kind] += count
}

// Buckets lists the minutes with events, oldest first, as of now.
func (l *Log) Buckets(now clock.Millis) []Bucket {
	minute := int64(now / clock.Minute)
	var out []Bucket
	for m := minute - minutesKept + 1; m <= minute; m++ {
		if b := l.buckets[(m%minutesKept+minutesKept)%minutesKept]; b.Minute == m && b.Counts != [KindCount]uint64{} {
			out = append(out, b)
		}
	}
	return out
}

// Rate is the state of an objective over one window.
type Rate struct {
	Window clock.Millis
	Total  uint64
	Bad    [KindCount]uint64 // by kind; the entry of Good is 0
	Burn   float64           // 1 spends the budget exactly over the objective's period
}

// BadTotal is the number of events that spent budget.
func (r Rate) BadTotal() uint64 {
	total := uint64(0)
	for _, n := range r.Bad {
		total += n
	}
	return total
}

// Windows are the spans over which burn rates are computed.
var Windows = []clock.Millis{5 * clock.Minute, clock.Hour, 6 * clock.Hour}

// Rates computes the burn rate over each window. The objective is the share of
// good events in percent.
func Rates(now clock.Millis, buckets []Bucket, objective float64) []Rate {
	out := make([]Rate, len(Windows))
	for i, window := range Windows {
		out[i] = rate(now, buckets, objective, window)
	}
	return out
}

func rate(now clock.Millis, buckets []Bucket, objective float64, window clock.Millis) Rate {
	r := Rate{Window: window}
	first := int64((now-window)/clock.Minute) + 1
	for _, b := range buckets {
		if b.Minute < first || b.Minute > int64(now/clock.Minute) {
			continue
		}
		for kind, n := range b.Counts {
			r.Total += n
			if Kind(kind) != Good {
				r.Bad[kind] += n
			}
		}
	}
	return r.WithObjective(objective)
}

// WithObjective computes the burn for an objective, the share of good events in
// percent.
func (r Rate) WithObjective(objective float64) Rate {
	r.Burn = 0
	if budget := 1 - objective/100; r.Total > 0 && budget > 0 {
		r.Burn = float64(r.BadTotal()) / float64(r.Total) / budget
	}
	return r
}

// Plus adds up the events of two rates over the same window. The burn must be
// computed again.
func (r Rate) Plus(other Rate) Rate {
	r.Total += other.Total
	for kind, n := range other.Bad {
		r.Bad[kind] += n
	}
	return r
}

// Merge adds up the buckets of several processes by minute.
func Merge(lists ...[]Bucket) []Bucket {
	byMinute := make(map[int64]Bucket)
	first, last := int64(0), int64(0)
	for _, list := range lists {
		for _, b := range list {
			sum := byMinute[b.Minute]
			sum.Minute = b.Minute
			for kind, n := range b.Counts {
				sum.Counts[kind] += n
			}
			byMinute[b.Minute] = sum
			if first == 0 || b.Minute < first {
				first = b.Minute
			}
			last = max(last, b.Minute)
		}
	}
	var out []Bucket
	for m := first; m <= last && m != 0; m++ {
		if b, ok := byMinute[m]; ok {
			out = append(out, b)
		}
	}
	return out
}
