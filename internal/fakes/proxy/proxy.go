// Package proxy is a TCP proxy on loopback that injects connection faults, for the fault
// soak.
package proxy

import (
	"net"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Mode -output=mode_string.go

// Mode determines what happens to connections.
type Mode int

// Modes of a proxy.
const (
	Pass    Mode = iota // forward data unchanged
	Slow                // forward after slowDelay
	Reset               // reset open and new connections
	Silence             // accept connections and discard data in both directions
	OneWay              // forward to the target, discard data from it
)

// slowDelay delays each read of data in mode Slow.
const slowDelay = 300 * time.Millisecond

// Proxy forwards connections to a target. Create it with Start.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// Start listens on a TCP address, whose port may be 0 for any free one, and forwards
// connections to the target.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the host and port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode for open and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.conns {
		closeWithReset(c)
	}
}

// Stop closes the listener and resets all connections.
func (p *Proxy) Stop() {
	p.listener.Close()
	p.SetMode(Reset)
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // stopped
		}
		if p.currentMode() == Reset {
			closeWithReset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	upstream, err := net.Dial("tcp4", p.target)
	if err != nil {
		closeWithReset(client)
		return
	}
	p.track(client, true)
	p.track(upstream, true)
	defer p.track(client, false)
	defer p.track(upstream, false)
	done := make(chan bool, 2)
	go p.forward(upstream, client, false, done)
	go p.forward(client, upstream, true, done)
	<-done
	client.Close()
	upstream.Close()
	<-done
}

// track adds a connection to those that mode Reset resets, or removes it.
func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// forward copies data in one direction. Once data has been discarded, the rest of the
// direction is discarded too, in every mode: a TCP stream never continues after a gap.
func (p *Proxy) forward(to, from net.Conn, fromTarget bool, done chan bool) {
	defer func() { done <- true }()
	buffer := make([]byte, 32<<10)
	discard := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := p.currentMode()
		discard = discard || mode == Silence || mode == OneWay && fromTarget
		if discard {
			continue
		}
		if mode == Slow {
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The error is ignored: the connection may be closed already.
		_ = t.SetLinger(0)
	}
	c.Close()
}
