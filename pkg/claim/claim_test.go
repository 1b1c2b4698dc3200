package claim_test

import (
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/claim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

const start = 1_700_000_000_000 * clock.Millis(1)

// requestID returns a UUIDv7 with the given timestamp; n distinguishes identifiers.
func requestID(at clock.Millis, n byte) uuid.UUID {
	var id uuid.UUID
	for i := range 6 {
		id[i] = byte(at >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id
}

func TestHomeGrantsOnlyTimestampsItHasRecordsFor(t *testing.T) {
	for _, row := range []struct {
		name      string
		timestamp clock.Millis // relative to the home's start
		now       clock.Millis
		want      claim.Outcome
	}{
		{"fresh", 10 * clock.Second, 11 * clock.Second, claim.Granted},
		{"before the start", -1, clock.Second, claim.Unsure},
		{"within the skew of the start", 3 * clock.Second, 4 * clock.Second, claim.Unsure},
		{"too old", 10 * clock.Second, 40 * clock.Second, claim.Expired},
		{"from the future", 20 * clock.Second, 10 * clock.Second, claim.Early},
	} {
		t.Run(row.name, func(t *testing.T) {
			var h claim.Home
			h.Start(start)
			reply := h.Decide(start+row.now, claim.GrantRequest{Request: requestID(start+row.timestamp, 1), Attempt: claim.Attempt{Number: 1}})
			assert.Equal(t, reply.Outcome, row.want)
		})
	}
}

func TestOldConfigurationRevisionIsOutdated(t *testing.T) {
	var h claim.Home
	h.Start(start)
	h.RequireRevision(7)
	reply := h.Decide(start+11*clock.Second, claim.GrantRequest{Request: requestID(start+10*clock.Second, 1), Revision: 6})
	assert.Equal(t, reply.Outcome, claim.Outdated)
}

func TestHomesAreInDifferentDataCentres(t *testing.T) {
	var all []claim.Candidate
	dataCentreOf := make(map[place.ID]string)
	for i := range 30 {
		c := claim.Candidate{ID: place.ID(i + 1), DataCentre: fmt.Sprint(i % 5)}
		all = append(all, c)
		dataCentreOf[c.ID] = c.DataCentre
	}
	layout := claim.NewLayout(all)
	for n := range byte(50) {
		homes := layout.Homes(requestID(start, n))
		assert.Equal(t, len(homes), 3)
		seen := make(map[string]bool)
		for _, home := range homes {
			seen[dataCentreOf[home]] = true
		}
		assert.Equal(t, len(seen), 3)
	}
}

func ExampleClaimant() {
	var home claim.Home
	home.Start(start)
	now := start + 11*clock.Second
	request := requestID(start+10*clock.Second, 1)
	for _, agent := range []place.ID{1, 2} {
		claimant := claim.Claimant{Self: agent}
		_, actions := claimant.Begin(now, request, 1, claim.HomeSets{{9}})
		results := claimant.HandleReply(now, 9, home.Decide(now, actions[0].GrantRequest.Request))
		fmt.Println(results[len(results)-1].Done.Verdict)
	}
	// Output:
	// Won
	// Lost
}
