// Package burn counts good and bad events per minute and computes the burn rates of a
// service's error budget over several windows. Each process counts in an EventCounts;
// Merge adds up the buckets of several processes, and Rates computes the burn rates.
package burn

import "dogwoodlanding.example/dogwood/pkg/clock"

//go:generate stringer -type=Kind -output=kind_string.go

// Kind classifies an event for the service-level objective. All kinds but Good use up
// the error budget.
type Kind int

// Kinds of events.
const (
	Good          Kind = iota // an answer in time, or an opened flow
	BrokenFlow                // a packet of a flow that no server holds
	RefusedWork               // a request that was not run, or a flow that was refused
	UnknownResult             // a request that may have run
	LateAnswer                // an answer after the deadline
	kindCount
)

// KindCount is the number of kinds.
const KindCount = int(kindCount)

// retainedMinutes is the length of the longest window.
const retainedMinutes = 6 * 60

// Bucket counts the events of one minute.
type Bucket struct {
	Minute int64             // minutes since the Unix epoch
	Counts [KindCount]uint64 // by kind
}

// EventCounts is a ring buffer of the buckets of the last six hours. The zero value is
// empty and ready to use. It is not safe for concurrent use.
type EventCounts struct {
	buckets [retainedMinutes]Bucket
}

// Add counts events of one kind in the minute of now.
func (e *EventCounts) Add(now clock.Millis, kind Kind, count uint64) {
	if count == 0 {
		return
	}
	minute := int64(now / clock.Minute)
	bucket := &e.buckets[minute%retainedMinutes]
	if bucket.Minute != minute {
		*bucket = Bucket{Minute: minute}
	}
	bucket.Counts[kind] += count
}

// Buckets returns the buckets of the last six hours up to now that have events,
// oldest first.
func (e *EventCounts) Buckets(now clock.Millis) []Bucket {
	minute := int64(now / clock.Minute)
	var out []Bucket
	for m := minute - retainedMinutes + 1; m <= minute; m++ {
		if b := e.buckets[(m%retainedMinutes+retainedMinutes)%retainedMinutes]; b.Minute == m && b.Counts != [KindCount]uint64{} {
			out = append(out, b)
		}
	}
	return out
}

// Rate holds the event counts and the burn rate of one window.
type Rate struct {
	Window clock.Millis
	Total  uint64            // events of all kinds
	Bad    [KindCount]uint64 // by kind; the entry of Good is 0
	Burn   float64           // at 1 the error budget lasts exactly for the objective's period
}

// BadTotal returns the number of events that used up error budget.
func (r Rate) BadTotal() uint64 {
	total := uint64(0)
	for _, n := range r.Bad {
		total += n
	}
	return total
}

// Windows lists the windows over which burn rates are computed, shortest first.
var Windows = []clock.Millis{5 * clock.Minute, clock.Hour, 6 * clock.Hour}

// Rates computes the burn rate over each of Windows. The objective is the required
// percentage of good events.
func Rates(now clock.Millis, buckets []Bucket, objective float64) []Rate {
	out := make([]Rate, len(Windows))
	for i, window := range Windows {
		out[i] = computeRate(now, buckets, objective, window)
	}
	return out
}

func computeRate(now clock.Millis, buckets []Bucket, objective float64, window clock.Millis) Rate {
	r := Rate{Window: window}
	firstMinute := int64((now-window)/clock.Minute) + 1
	for _, b := range buckets {
		if b.Minute < firstMinute || b.Minute > int64(now/clock.Minute) {
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

// WithObjective returns the rate with the burn rate for an objective, the required
// percentage of good events. Without events or error budget the burn rate is 0.
func (r Rate) WithObjective(objective float64) Rate {
	r.Burn = 0
	if budget := 1 - objective/100; r.Total > 0 && budget > 0 {
		r.Burn = float64(r.BadTotal()) / float64(r.Total) / budget
	}
	return r
}

// AddEvents returns the sum of the event counts of two rates over the same window.
// Burn is not updated; WithObjective computes it.
func (r Rate) AddEvents(other Rate) Rate {
	r.Total += other.Total
	for kind, n := range other.Bad {
		r.Bad[kind] += n
	}
	return r
}

// Merge adds up the buckets of several processes by minute, oldest first.
func Merge(lists ...[]Bucket) []Bucket {
	byMinute := make(map[int64]Bucket)
	firstMinute, lastMinute := int64(0), int64(0)
	for _, list := range lists {
		for _, b := range list {
			sum := byMinute[b.Minute]
			sum.Minute = b.Minute
			for kind, n := range b.Counts {
				sum.Counts[kind] += n
			}
			byMinute[b.Minute] = sum
			if firstMinute == 0 || b.Minute < firstMinute {
				firstMinute = b.Minute
			}
			lastMinute = max(lastMinute, b.Minute)
		}
	}
	var out []Bucket
	for m := firstMinute; m <= lastMinute && m != 0; m++ {
		if b, ok := byMinute[m]; ok {
			out = append(out, b)
		}
	}
	return out
}
