package caller

import (
	"encoding/json"
	"net/netip"
	"time"

	"dogwoodlanding.example/dogwood/internal/edge"
	"dogwoodlanding.example/dogwood/internal/fakes/server"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/google/uuid"
)

// maxCopies bounds the copies sent of one request, including the first.
const maxCopies = 4

// request is a request without a final outcome.
type request struct {
	load        *Requests
	id          uuid.UUID
	copies      int // sent so far
	sourcePorts []uint16
	startedAt   time.Time
	lastSentAt  time.Time
}

// startRequests starts the requests that are due at each load's rate.
func (c *Caller) startRequests(now time.Time, elapsed time.Duration) {
	for i := range c.Requests {
		load := &c.Requests[i]
		for range eventsDue(load.PerSecond, elapsed) {
			c.startRequest(now, load)
		}
	}
}

func (c *Caller) startRequest(now time.Time, load *Requests) {
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	req := &request{load: load, id: id, startedAt: now}
	c.pending[id.String()] = req
	c.loadByRequest[id.String()] = load
	c.report.Requests++
	c.sendCopy(now, req)
	if load.TwinIn > 0 && c.random.IntN(load.TwinIn) == 0 {
		c.sendCopy(now, req)
	}
}

// sendCopy sends a copy of a request from a new source port, so that it may take another
// path than the copies before it.
func (c *Caller) sendCopy(now time.Time, req *request) {
	port := c.nextPort()
	leftMs := req.load.TimeoutMs - int(now.Sub(req.startedAt).Milliseconds())
	body, _ := json.Marshal(struct{ Bytes int }{req.load.Bytes})
	payload, err := edge.EncodeRequest(req.id, req.load.Method, edge.RequestParams{Copy: req.copies, TimeoutMs: int64(leftMs), Body: body})
	if err != nil {
		return
	}
	key := flow.NewKey(netip.AddrPortFrom(c.Host, port), req.load.Target, packet.ProtocolUDP)
	raw, err := packet.Datagram(key, payload)
	c.requestByPort[port] = req.id.String()
	req.sourcePorts = append(req.sourcePorts, port)
	req.copies++
	req.lastSentAt = now
	c.report.CopiesSent++
	c.send(raw, err)
}

// checkRequests resends unanswered requests in the first half of their time, and ends
// those without an answer 500 ms after their deadline.
func (c *Caller) checkRequests(now time.Time) {
	for _, req := range c.pending {
		switch {
		case now.Sub(req.startedAt) > time.Duration(req.load.TimeoutMs+500)*time.Millisecond:
			c.report.Late++
			c.endRequest(now, req)
		case req.copies < maxCopies && now.Sub(req.lastSentAt) > time.Duration(req.load.ResendMs)*time.Millisecond &&
			now.Sub(req.startedAt) < time.Duration(req.load.TimeoutMs)*time.Millisecond/2:
			c.sendCopy(now, req)
		}
	}
}

// endRequest removes a request from the pending ones, releases its ports and records how
// long it took.
func (c *Caller) endRequest(now time.Time, req *request) {
	delete(c.pending, req.id.String())
	for _, port := range req.sourcePorts {
		delete(c.requestByPort, port)
	}
	c.report.AnswerMs = append(c.report.AnswerMs, now.Sub(req.startedAt).Milliseconds())
}

// handleAnswer handles the answer to a request. A late answer, to a port whose request
// has ended, does not count as wrong.
func (c *Caller) handleAnswer(now time.Time, info packet.Info) {
	id, answer, copyNumber, err := edge.DecodeAnswer(info.Payload)
	if err != nil {
		c.report.WrongAnswers++
		return
	}
	expectedID, portInUse := c.requestByPort[info.Key.TargetPort]
	if portInUse && expectedID != id {
		c.report.WrongAnswers++
		return
	}
	if answer.Outcome != wire.Done && answer.RetryAfterMs <= 0 {
		c.report.RetryAfterNil++
	}
	req := c.pending[id]
	if load := c.loadByRequest[id]; load != nil && answer.Outcome == wire.NotRun {
		c.report.NotRunIDs = append(c.report.NotRunIDs, Refusal{id, copyNumber, load.NonIdempotent})
	}
	if req != nil {
		c.recordOutcome(now, req, answer)
	}
}

// recordOutcome counts the outcome of a request and ends it.
func (c *Caller) recordOutcome(now time.Time, req *request, answer wire.Answer) {
	if answer.Outcome != wire.Done {
		c.report.Reasons[answer.Reason]++
	}
	switch answer.Outcome {
	case wire.Done:
		c.report.Answered++
		if !matchesRequest(req, answer.Result) {
			c.report.WrongAnswers++
		}
	case wire.NotRun:
		c.report.NotRun++
	case wire.Unknown:
		c.report.Unknown++
	}
	c.endRequest(now, req)
}

// matchesRequest reports whether a result belongs to the request and is complete.
func matchesRequest(req *request, raw []byte) bool {
	var result server.Result
	if err := json.Unmarshal(raw, &result); err != nil {
		return false
	}
	return result.ID == req.id.String() && result.Method == req.load.Method && len(result.Body) == req.load.Bytes &&
		result.Sum == server.Sum(result.ID, result.Method, result.Body)
}
