package claim

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// homesPerRequest is the size of a home set if there are at least that many agents.
const homesPerRequest = 3

// Candidate is an agent that may be a home.
type Candidate struct {
	ID         place.ID
	DataCentre string
}

// Layout maps requests to their homes under one configuration. It is immutable.
type Layout struct {
	dataCentres []place.Table // agents of each data centre, ordered by its name
	agents      place.Table
}

// NewLayout returns the layout for the agents of one configuration.
func NewLayout(candidates []Candidate) Layout {
	byDataCentre := make(map[string][]place.Member)
	var all []place.Member
	for _, c := range candidates {
		byDataCentre[c.DataCentre] = append(byDataCentre[c.DataCentre], place.Member{ID: c.ID})
		all = append(all, place.Member{ID: c.ID})
	}
	names := make([]string, 0, len(byDataCentre))
	for name := range byDataCentre {
		names = append(names, name)
	}
	slices.Sort(names)
	layout := Layout{agents: place.New(all)}
	for _, name := range names {
		layout.dataCentres = append(layout.dataCentres, place.New(byDataCentre[name]))
	}
	return layout
}

// Homes returns the homes of a request in the order of their identifiers. With at
// least three data centres each home is in a different one, so that a majority
// remains when one data centre fails.
func (l Layout) Homes(request uuid.UUID) []place.ID {
	key := xxhash.Sum64(request[:])
	var homes []place.ID
	if len(l.dataCentres) >= homesPerRequest {
		for _, centre := range l.pickDataCentres(key) {
			var best [1]place.ID
			centre.Rank(key, best[:])
			homes = append(homes, best[0])
		}
	} else {
		var best [homesPerRequest]place.ID
		homes = append(homes, best[:l.agents.Rank(key, best[:])]...)
	}
	slices.Sort(homes)
	return homes
}

// pickDataCentres returns the data centres that hold the homes of a key.
func (l Layout) pickDataCentres(key uint64) []place.Table {
	if len(l.dataCentres) == homesPerRequest {
		return l.dataCentres
	}
	first := int(key % uint64(len(l.dataCentres)))
	out := make([]place.Table, homesPerRequest)
	for i := range out {
		out[i] = l.dataCentres[(first+i)%len(l.dataCentres)]
	}
	return out
}

// replacedLayout is a layout that is no longer current.
type replacedLayout struct {
	layout     Layout
	replacedAt clock.Millis
}

// Layouts holds the current layout and the replaced ones that other agents may still
// use. The zero value has no homes.
type Layouts struct {
	// Overlap is how long the home sets of a replaced layout must still grant. Zero
	// means 40 s: the default validity and the time to distribute a configuration.
	Overlap clock.Millis

	current         Layout
	replacedLayouts []replacedLayout
	hasCurrent      bool
	everReplaced    bool
}

// defaultOverlap covers the validity of an identifier and 10 s for the distribution of
// a configuration change.
const defaultOverlap = DefaultValidity + 10*clock.Second

// Replace makes a layout the current one.
func (l *Layouts) Replace(now clock.Millis, layout Layout) {
	if l.hasCurrent {
		l.everReplaced = true
		l.replacedLayouts = append(l.replacedLayouts, replacedLayout{l.current, now})
	}
	l.hasCurrent = true
	l.current = layout
}

// EverReplaced reports whether a layout has ever been replaced by another.
func (l *Layouts) EverReplaced() bool { return l.everReplaced }

// HomeSets returns the distinct home sets that must grant a request at this time, oldest
// first. It reports false if there are more than MaxHomeSets, or if the current
// layout has no homes.
func (l *Layouts) HomeSets(now clock.Millis, request uuid.UUID) (HomeSets, bool) {
	l.replacedLayouts = slices.DeleteFunc(l.replacedLayouts, func(v replacedLayout) bool {
		return now-v.replacedAt > l.Overlap.Or(defaultOverlap)
	})
	var sets HomeSets
	for _, v := range l.replacedLayouts {
		if homes := v.layout.Homes(request); !sets.contains(homes) {
			sets = append(sets, homes)
		}
	}
	current := l.current.Homes(request)
	if !sets.contains(current) {
		sets = append(sets, current)
	}
	return sets, len(sets) <= MaxHomeSets && len(current) > 0
}
