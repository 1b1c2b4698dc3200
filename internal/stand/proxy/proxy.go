// Package proxy is a TCP proxy on loopback that misbehaves on demand, for the
// fault soak.
package proxy

import (
	"net"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Mode -output=mode_string.go

// Mode says what happens to connections.
type Mode int

// Modes of a proxy.
const (
	Pass    Mode = iota // forward
	Slow                // forward late
	Reset               // reset every connection, open and new
	Silence             // accept and forward nothing, either way
	OneWay              // forward requests, and nothing back
)

// slowBy is the delay of each piece of data in mode Slow.
const slowBy = 300 * time.Millisecond

// Proxy forwards connections to a target. Create it with Start.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// Start listens on a free port of an address.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode for open and new connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// Stop ends the proxy and its connections.
func (p *Proxy) Stop() {
	p.listener.Close()
	p.Set(Reset)
}

func (p *Proxy) now() Mode {
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
		if p.now() == Reset {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.track(c, true)
	p.track(up, true)
	defer p.track(c, false)
	defer p.track(up, false)
	done := make(chan bool, 2)
	go p.copy(up, c, false, done)
	go p.copy(c, up, true, done)
	<-done
	c.Close()
	up.Close()
	<-done
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// copy forwards one direction. Data that comes while the proxy is silent is lost
// for good, as on a connection that has gone silent.
func (p *Proxy) copy(to, from net.Conn, back bool, done chan bool) {
	defer func() { done <- true }()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := p.now()
		lost = lost || mode == Silence || mode == OneWay && back
		if lost {
			continue
		}
		if mode == Slow {
			time.Sleep(slowBy)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// A connection that has closed already needs no reset.
		_ = t.SetLinger(0)
	}
	c.Close()
}
