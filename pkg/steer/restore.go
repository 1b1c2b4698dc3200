package steer

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

// eraShift is the position of the era in a revision: 16 bits of eras leave the store's
// own number 48.
const eraShift = 48

// restoreHoldTime is how long a restored store may still lack what was written since
// the copy was made: servers and operators write it again, within about two seconds.
const restoreHoldTime = EntryReturnTime

// RevisionOf returns the revision of a change: revisions order changes by the era of the
// platform's store, which rises each time it is restored from an older copy, and then by
// the store's own number, which a restored store gives out again.
func RevisionOf(era, number uint64) uint64 { return era<<eraShift | number }

// eraOf returns the era of a revision.
func eraOf(revision uint64) uint64 { return revision >> eraShift }

// RecordRestore records that the platform's store was restored from an older copy. For
// restoreHoldTime, a listing then takes back no drain, no evacuation and no newer run of
// a server. Call it before ApplyListing.
func (r *Registry) RecordRestore(now clock.Millis) {
	r.restoreHeldUntil, r.view = now+restoreHoldTime, nil
}

// restoring reports whether the store may still lack what was written since the copy
// that it was restored from.
func (r *Registry) restoring(now clock.Millis) bool { return now < r.restoreHeldUntil }

// hold keeps back the changes of a restored store's listing that take back a newer
// state, and returns the others.
func (r *Registry) hold(listing []Change) []Change {
	var applied []Change
	r.held = nil
	for _, c := range listing {
		if c.Server != nil && r.servers[c.Server.Name].isNewerThan(c.Server) {
			r.held = append(r.held, c)
		} else {
			applied = append(applied, c)
		}
	}
	return applied
}

// ApplyPart applies a part of a listing before the whole has been received. It removes
// nothing. If the store was restored since the last listing, or a moment ago, it applies
// evacuations only: what else may be applied is decided by the whole listing.
func (r *Registry) ApplyPart(now clock.Millis, part []Change, restored bool) []Event {
	if restored || r.restoring(now) {
		part = slices.DeleteFunc(slices.Clone(part), func(c Change) bool { return !c.OutOfService })
	}
	return r.Apply(now, part)
}

// isNewerThan reports whether an entry in a restored store takes back this state: a
// later run of the server, or the drain of the same run.
func (s *Server) isNewerThan(restored *Server) bool {
	if s == nil || eraOf(restored.Revision) <= eraOf(s.Revision) {
		return false
	}
	sameRun := s.StartMs == restored.StartMs
	return s.StartMs > restored.StartMs || sameRun && s.State == Leaving && restored.State == Serving
}

// discardHeld drops the held change that a later one replaces.
func (r *Registry) discardHeld(later Change) {
	r.held = slices.DeleteFunc(r.held, func(c Change) bool {
		if c.Server != nil {
			return later.Removed == c.Server.Name || later.Server != nil && later.Server.Name == c.Server.Name
		}
		return c.DataCentreName == later.DataCentreName
	})
}

// ApplyHeld applies the changes of a restored store that were held back, once the time
// in which newer ones could replace them is over. Call it regularly.
func (r *Registry) ApplyHeld(now clock.Millis) []Event {
	if len(r.held) == 0 || r.restoring(now) {
		return nil
	}
	held := r.held
	r.held = nil
	return r.Apply(now, held)
}
