// Command dogstand runs stand-ins for the systems around the load balancer: the
// configuration service (platform), the network in front of the balancers (fabric), a
// backend server and a caller. Each process runs one stand-in.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"dogwoodlanding.example/dogwood/internal/fakes/caller"
	"dogwoodlanding.example/dogwood/internal/fakes/fabric"
	"dogwoodlanding.example/dogwood/internal/fakes/plat"
	"dogwoodlanding.example/dogwood/internal/fakes/server"
	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

// platformArgs are the arguments of the configuration service.
type platformArgs struct {
	Control string `arg:"--control,required" help:"address and port of the HTTP interface"`
}

// fabricArgs are the arguments of the fabric.
type fabricArgs struct {
	Control string `arg:"--control,required" help:"address and port of the HTTP interface"`
	Host    string `arg:"--host,required" help:"IP address that callers send packets to"`
	Seed    uint64 `arg:"--seed" default:"1" help:"seed of the random choices"`
}

// serverArgs are the arguments of a backend server.
type serverArgs struct {
	Control string   `arg:"--control,required" help:"address and port of the HTTP interface"`
	Name    string   `arg:"--name,required" help:"name in the configuration"`
	Packets string   `arg:"--packets,required" help:"address and UDP port for packets"`
	Targets []string `arg:"--targets,required" help:"service addresses and ports that it accepts packets for"`
	Slots   int      `arg:"--slots,required" help:"requests that it runs concurrently when warm"`
}

// callerArgs are the arguments of a caller.
type callerArgs struct {
	Control string `arg:"--control,required" help:"address and port of the HTTP interface"`
	Load    string `arg:"--load,required" help:"JSON file with the caller's addresses, streams and requests"`
}

type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"configuration service"`
	Fabric   *fabricArgs   `arg:"subcommand:fabric" help:"network that sends each packet to a random balancer"`
	Server   *serverArgs   `arg:"subcommand:server" help:"backend server"`
	Caller   *callerArgs   `arg:"subcommand:caller" help:"caller host"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, a, parser); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a args, parser *arg.Parser) error {
	switch {
	case a.Platform != nil:
		return serve(ctx, a.Platform.Control, new(plat.Platform).Handler(), nil)
	case a.Fabric != nil:
		return runFabric(ctx, *a.Fabric)
	case a.Server != nil:
		return runServer(ctx, *a.Server)
	case a.Caller != nil:
		return runCaller(ctx, *a.Caller)
	}
	parser.WriteHelp(os.Stderr)
	return errors.New("missing subcommand: platform, fabric, server or caller")
}

// serve serves the HTTP interface of a stand-in, and calls runStandIn if it is not nil,
// until the context ends or one of the two returns.
func serve(ctx context.Context, addr string, handler http.Handler, runStandIn func() error) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for HTTP")
	}
	failed := make(chan error, 2)
	go func() { failed <- http.Serve(listener, handler) }()
	if runStandIn != nil {
		go func() { failed <- runStandIn() }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func runFabric(ctx context.Context, a fabricArgs) error {
	host, err := netip.ParseAddr(a.Host)
	if err != nil {
		return errors.Wrap(err, "parse --host")
	}
	f := &fabric.Fabric{Host: host, Random: rand.New(rand.NewPCG(a.Seed, 3))}
	return serve(ctx, a.Control, f.Handler(), f.Run)
}

func runServer(ctx context.Context, a serverArgs) error {
	packets, err := netip.ParseAddrPort(a.Packets)
	if err != nil {
		return errors.Wrap(err, "parse --packets")
	}
	s := &server.Server{Name: a.Name, Packets: packets, Slots: a.Slots}
	for _, text := range a.Targets {
		target, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Wrap(err, "parse --targets")
		}
		s.Targets = append(s.Targets, target)
	}
	s.Start()
	return serve(ctx, a.Control, s.Handler(), s.Run)
}

func runCaller(ctx context.Context, a callerArgs) error {
	raw, err := os.ReadFile(a.Load)
	if err != nil {
		return errors.Wrap(err, "read load file")
	}
	c := new(caller.Caller)
	if err := json.Unmarshal(raw, c); err != nil {
		return errors.Wrapf(err, "decode load file %q", a.Load)
	}
	return serve(ctx, a.Control, c.Handler(), c.Run)
}
