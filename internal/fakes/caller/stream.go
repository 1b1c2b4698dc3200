package caller

import (
	"net/netip"
	"time"

	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/packet"
)

// Timers of a stream.
const (
	synResendInterval = 250 * time.Millisecond // doubles up to three times
	maxSynTries       = 6
	stallTimeout      = 6 * time.Second // an established flow without packets for longer counts as broken
)

// stream is a flow of the caller that has not ended.
type stream struct {
	load           *Streams
	key            flow.Key
	established    bool
	server         string // that answered data, empty before the first answer
	seq            uint32
	synTries       int
	startedAt      time.Time
	lastSentAt     time.Time
	lastReceivedAt time.Time
	closing        bool // a FIN has been sent
}

// openStreams opens flows at each load's rate until its count is reached.
func (c *Caller) openStreams(now time.Time, elapsed time.Duration) {
	for i := range c.Streams {
		load := &c.Streams[i]
		open := 0
		for _, s := range c.streams {
			if s.load == load {
				open++
			}
		}
		for range eventsDue(load.PerSecond, elapsed) {
			if open >= load.Count {
				break
			}
			open++
			c.openStream(now, load)
		}
	}
}

// eventsDue returns how many events of a rate fall into the tick that ends at elapsed.
func eventsDue(perSecond int, elapsed time.Duration) int {
	before := int64(elapsed-tickInterval) * int64(perSecond) / int64(time.Second)
	return int(int64(elapsed)*int64(perSecond)/int64(time.Second) - max(0, before))
}

func (c *Caller) openStream(now time.Time, load *Streams) {
	source := netip.AddrPortFrom(c.Host, c.nextPort())
	key := flow.NewKey(source, load.Target, packet.ProtocolTCP)
	if c.streams[key] != nil {
		return
	}
	s := &stream{load: load, key: key, startedAt: now}
	c.streams[key] = s
	c.sendSyn(now, s)
}

// sendSyn sends a SYN. The first time it sends two copies, for each of which the fabric
// selects a balancer independently.
func (c *Caller) sendSyn(now time.Time, s *stream) {
	raw, err := packet.Segment(s.key, packet.Flags{Syn: true}, 0, 0, nil)
	c.send(raw, err)
	if s.synTries == 0 {
		c.send(raw, err)
	}
	s.synTries++
	s.lastSentAt = now
}

// checkStreams sends the packets that are due and ends flows that got no answer.
func (c *Caller) checkStreams(now time.Time) {
	for key, s := range c.streams {
		switch {
		case !s.established && s.synTries >= maxSynTries && now.Sub(s.lastSentAt) > synResendInterval:
			c.report.FlowsRefused++
			delete(c.streams, key)
		case !s.established && now.Sub(s.lastSentAt) > synResendInterval<<min(s.synTries-1, 3):
			c.sendSyn(now, s)
		case s.established && now.Sub(s.lastReceivedAt) > stallTimeout:
			c.breakStream(now, s, "silent")
		case s.established && now.Sub(s.lastSentAt) > time.Duration(s.load.EveryMs)*time.Millisecond:
			c.sendData(now, s)
		}
	}
}

// sendData sends a data segment, with a FIN if the flow's life is over.
func (c *Caller) sendData(now time.Time, s *stream) {
	s.lastSentAt = now
	flags := packet.Flags{Ack: true}
	if s.load.LifeMs > 0 && now.Sub(s.startedAt) > time.Duration(s.load.LifeMs)*time.Millisecond {
		flags.Fin = true
		s.closing = true
	}
	raw, err := packet.Segment(s.key, flags, s.seq, 1, []byte("data"))
	s.seq += 4
	c.send(raw, err)
}

// breakStream removes a flow and counts it as broken, or as ended if the caller was
// closing it.
func (c *Caller) breakStream(now time.Time, s *stream, cause string) {
	delete(c.streams, s.key)
	if s.closing {
		c.report.Ended++
		return
	}
	c.report.Broken = append(c.report.Broken, Broken{s.load.Service, s.server, now.UnixMilli(), cause})
}

// handleSegment handles a segment for one of the caller's flows. Data holds the name of
// the server, which must not change.
func (c *Caller) handleSegment(now time.Time, info packet.Info) {
	s := c.streams[packet.Reverse(info.Key)]
	if s == nil {
		return
	}
	if info.EndsConnection {
		c.handleEnd(now, s)
		return
	}
	if !s.established {
		s.established = true
		s.seq = 1
		s.lastReceivedAt = now
		c.report.Flows++
		c.sendData(now, s)
		return
	}
	c.report.SilentMs = max(c.report.SilentMs, now.Sub(s.lastReceivedAt).Milliseconds())
	s.lastReceivedAt = now
	if len(info.Payload) == 0 {
		return
	}
	from := string(info.Payload)
	if s.server != "" && s.server != from {
		c.breakStream(now, s, "answered by "+from)
		return
	}
	s.server = from
}

// handleEnd handles a segment that ends a flow: a reset or the answer to a FIN.
func (c *Caller) handleEnd(now time.Time, s *stream) {
	switch {
	case s.closing:
		c.report.Ended++
		delete(c.streams, s.key)
	case !s.established:
		c.report.FlowsRefused++
		delete(c.streams, s.key)
	default:
		c.breakStream(now, s, "reset")
	}
}
