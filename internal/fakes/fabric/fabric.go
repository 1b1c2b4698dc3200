// Package fabric is a stand-in for the network between callers and balancers: it sends
// every packet to a random balancer of its list.
package fabric

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"

	"dogwoodlanding.example/dogwood/internal/edge"
)

// Fabric distributes packets at random. Set the exported fields before Run.
type Fabric struct {
	Host      netip.Addr // address that callers send packets to
	Random    *rand.Rand
	DropOneIn int // one in DropOneIn packets is dropped; 0 drops none

	mutex     sync.Mutex
	balancers []netip.Addr
	socket    *edge.PacketSocket
}

// Run opens the socket and forwards packets until the socket is closed.
func (f *Fabric) Run() error {
	socket, err := edge.ListenPackets(f.Host)
	if err != nil {
		return err
	}
	f.socket = socket
	socket.Receive(func(_ netip.Addr, raw []byte) {
		if to, ok := f.pickBalancer(); ok {
			socket.Send(to, raw)
		}
	})
	return nil
}

// pickBalancer returns a random balancer. It returns false if the packet is to be dropped
// or there are no balancers.
func (f *Fabric) pickBalancer() (netip.Addr, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.balancers) == 0 || f.DropOneIn > 0 && f.Random.IntN(f.DropOneIn) == 0 {
		return netip.Addr{}, false
	}
	return f.balancers[f.Random.IntN(len(f.balancers))], true
}

// SetBalancers replaces the list of balancers.
func (f *Fabric) SetBalancers(list []netip.Addr) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.balancers = list
}

// Handler serves the control interface, which replaces the list of balancers.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/balancers", func(w http.ResponseWriter, r *http.Request) {
		var list []netip.Addr
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetBalancers(list)
	})
	return mux
}
