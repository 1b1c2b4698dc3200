// Package share estimates whether a server holds more than its share of the flows of
// its service. The estimate uses load reports that a few other agents send.
package share

import (
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// Report is the load of one server, as reported by its agent.
type Report struct {
	Held   int `cbor:"1,keyasint"` // number of flows
	Weight int `cbor:"2,keyasint"` // of the server, relative to others of the service
}

// Parameters of the estimate.
const (
	reportTTL  = 5 * clock.Second // older reports are ignored
	tolerance  = 1.03             // ratio of held flows to the fair share up to which load is even
	slackFlows = 4                // flows above that which still count as even
)

// timedReport is a report with the time of its receipt.
type timedReport struct {
	report Report
	at     clock.Millis
}

// Estimate compares a server's load with its fair share by the reports of the last 5
// seconds. The zero value has no reports. An Estimate is not safe for concurrent use.
type Estimate struct {
	reports map[place.ID]timedReport
}

// Record stores a report and replaces the previous one of the same agent.
func (e *Estimate) Record(now clock.Millis, from place.ID, report Report) {
	if e.reports == nil {
		e.reports = make(map[place.ID]timedReport)
	}
	e.reports[from] = timedReport{report, now}
}

// AboveShare reports whether a server with the load own clearly holds more than its fair
// share, the part of all known flows that is proportional to its weight. It returns false
// if there are no recent reports.
func (e *Estimate) AboveShare(now clock.Millis, own Report) bool {
	totalHeld, totalWeight := float64(own.Held), float64(max(1, own.Weight))
	hasReports := false
	for id, r := range e.reports {
		if now-r.at > reportTTL {
			delete(e.reports, id)
			continue
		}
		hasReports = true
		totalHeld += float64(r.report.Held)
		totalWeight += float64(max(1, r.report.Weight))
	}
	if !hasReports {
		return false
	}
	fairShare := totalHeld / totalWeight * float64(max(1, own.Weight))
	return float64(own.Held) > fairShare*tolerance+slackFlows
}
