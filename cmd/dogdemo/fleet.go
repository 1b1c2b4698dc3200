package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"dogwoodlanding.example/dogwood/internal/admin"
	"dogwoodlanding.example/dogwood/internal/fakes/plat"
	"dogwoodlanding.example/dogwood/internal/peer"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"github.com/cockroachdb/errors"
)

// stopTimeout is how long a process may take to exit after a signal before it is
// killed.
const stopTimeout = 10 * time.Second

// fleet runs the processes of one deployment on loopback addresses.
type fleet struct {
	name          string
	binDir        string // folder of the built commands
	outDir        string // folder for settings and logs
	addressPrefix string // first two bytes of all addresses, as in "127.1"
	config        conf.Set

	processes map[string]*exec.Cmd // running processes by name
	client    *http.Client
}

// newFleet reads a deployment's configuration folder and creates the folder out/name
// for its settings and logs.
func newFleet(name, bin, out, folder string) (*fleet, error) {
	files, err := conf.ReadFolder(folder)
	if err != nil {
		return nil, err
	}
	set, findings := conf.Build(files)
	if findings.Failed() {
		return nil, findings
	}
	dir := filepath.Join(out, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create folder for settings and logs")
	}
	host := strings.Split(set.Balancers[0].Host, ".")
	return &fleet{
		name: name, binDir: bin, outDir: dir, addressPrefix: host[0] + "." + host[1], config: set,
		processes: make(map[string]*exec.Cmd), client: &http.Client{Timeout: 5 * time.Second},
	}, nil
}

func (f *fleet) platformAddr() string { return f.addressPrefix + ".0.1:8080" }
func (f *fleet) fabricHost() string   { return f.addressPrefix + ".0.2" }
func (f *fleet) callerHost() string   { return f.addressPrefix + ".0.3" }

// serverHost returns the address of the stand-in for a backend server. The declared
// address belongs to the server's agent.
func (f *fleet) serverHost(s conf.BackendServer) string {
	parts := strings.Split(s.Host, ".")
	return fmt.Sprintf("%s.%s.1%s", f.addressPrefix, parts[2], parts[3])
}

// start starts a process under a name and appends its output to a log file.
func (f *fleet) start(name, command string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.outDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(filepath.Join(f.binDir, command), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	f.processes[name] = cmd
	return nil
}

// stop sends a signal to a process and waits until it exits. After stopTimeout it kills
// the process and returns an error. After SIGTERM, an exit code other than 0 is an
// error too.
func (f *fleet) stop(name string, signal os.Signal) error {
	cmd := f.processes[name]
	if cmd == nil {
		return nil
	}
	delete(f.processes, name)
	if err := cmd.Process.Signal(signal); err != nil {
		return errors.Wrapf(err, "signal %s", name)
	}
	timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	err := cmd.Wait()
	if !timer.Stop() {
		return errors.Newf("%s did not stop within %s", name, stopTimeout)
	}
	if signal == syscall.SIGTERM && err != nil {
		return errors.Wrapf(err, "%s exited after SIGTERM", name)
	}
	return nil
}

// stopAll kills every process that still runs.
func (f *fleet) stopAll() {
	for _, cmd := range f.processes {
		_ = cmd.Process.Kill()
	}
	for _, cmd := range f.processes {
		_ = cmd.Wait()
	}
}

// timing is shorter than the defaults, so that the effect of each change shows within
// the twenty seconds of the demonstration.
var timing = setup.Timing{
	HeartbeatMs: 200, LeaseMs: 800, SilenceMs: 1200, HoldMs: 1500,
	IntervalMs: 200, StartupWaitMs: 800, SkewMs: 400,
}

// processSettings returns the settings that balancers and agents have in common.
func (f *fleet) processSettings(name, host, dataCentre string) setup.Process {
	seeds := []string{f.config.Balancers[1].Host, f.config.Servers[0].Host, f.config.Servers[len(f.config.Servers)-1].Host}
	return setup.Process{
		Name: name, DataCentre: dataCentre, Host: host, Platform: "http://" + f.platformAddr(), Seeds: seeds, Timing: timing,
	}
}

// writeSettings writes a settings file and returns its path.
func (f *fleet) writeSettings(name string, value any) (string, error) {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(f.outDir, name+".json")
	return path, errors.Wrap(os.WriteFile(path, raw, 0o644), "write settings")
}

func (f *fleet) startBalancer(b conf.Balancer) error {
	path, err := f.writeSettings(b.Name, setup.Balancer{Process: f.processSettings(b.Name, b.Host, b.DataCentre), CacheFlows: 1 << 16})
	if err != nil {
		return err
	}
	return f.start(b.Name, "dogwood", "balancer", "--settings", path)
}

func (f *fleet) startAgent(s conf.BackendServer) error {
	server := setup.Server{Packets: f.serverHost(s) + ":6080", URL: "http://" + f.serverHost(s) + ":8080"}
	path, err := f.writeSettings(s.Name, setup.Agent{Process: f.processSettings(s.Name, s.Host, s.DataCentre), Server: server})
	if err != nil {
		return err
	}
	return f.start("agent-"+s.Name, "dogwood", "agent", "--settings", path)
}

func (f *fleet) startServer(s conf.BackendServer) error {
	service, _ := f.config.Service(s.Service)
	args := []string{"server", "--control", f.serverHost(s) + ":8080", "--name", s.Name,
		"--packets", f.serverHost(s) + ":6080", "--slots", fmt.Sprint(s.Slots), "--targets"}
	for _, e := range service.Endpoints {
		args = append(args, fmt.Sprintf("%s:%d", service.Address, e.Port))
	}
	return f.start("server-"+s.Name, "dogstand", args...)
}

// startInitial starts everything but the last balancer, which joins later, and waits
// until all processes are ready.
func (f *fleet) startInitial(seed uint64) error {
	if err := f.start("platform", "dogstand", "platform", "--control", f.platformAddr()); err != nil {
		return err
	}
	if err := f.start("fabric", "dogstand", "fabric", "--control", f.fabricHost()+":8080", "--host", f.fabricHost(), "--seed", fmt.Sprint(seed)); err != nil {
		return err
	}
	if err := f.retry(func() error { return f.publish(f.config.Files()) }); err != nil {
		return err
	}
	for _, s := range f.config.Servers {
		if err := errors.Join(f.startServer(s), f.startAgent(s)); err != nil {
			return err
		}
	}
	for _, b := range f.config.Balancers[:len(f.config.Balancers)-1] {
		if err := f.startBalancer(b); err != nil {
			return err
		}
	}
	return f.retry(f.checkReady)
}

// retry calls attempt until it succeeds, for at most 15 seconds, and returns its last
// error.
func (f *fleet) retry(attempt func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for {
		err := attempt()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// runOperatorTools runs the tools for operators on the fleet and saves their output.
func (f *fleet) runOperatorTools() error {
	host := f.config.Servers[0].Host
	reportFile := filepath.Join(f.outDir, "report.html")
	for _, args := range [][]string{
		{"status", "--from", host},
		{"status", "--from", host, "--history"},
		{"report", "--from", host, "--save", filepath.Join(f.outDir, "snapshot.json"), "--format", "html", "--out", reportFile},
		{"report", "--snapshot", filepath.Join(f.outDir, "snapshot.json")},
	} {
		out, err := exec.Command(filepath.Join(f.binDir, "dogwood"), args...).CombinedOutput()
		outputFile := filepath.Join(f.outDir, strings.Join(args[:1], "-")+fmt.Sprintf("-%d.txt", len(args)))
		if writeErr := os.WriteFile(outputFile, out, 0o644); writeErr != nil {
			return errors.Wrap(writeErr, "save output of an operator tool")
		}
		// status exits with 1 if it finds problems, as it does here: a balancer was
		// killed and not restarted.
		if err != nil && args[0] != "status" {
			return errors.Wrapf(err, "dogwood %s: %s", strings.Join(args, " "), out)
		}
	}
	return nil
}

// checkReady returns an error unless every running process is ready and has a lease.
func (f *fleet) checkReady() error {
	for _, s := range f.readStates() {
		if !s.Ready || !s.Leased {
			return errors.Newf("%s %s is not ready", f.name, s.Name)
		}
	}
	return nil
}

// readStates returns the state of every running balancer and agent.
func (f *fleet) readStates() []admin.State {
	var out []admin.State
	for _, s := range f.config.Servers {
		if f.processes["agent-"+s.Name] != nil {
			out = append(out, f.readState(s.Host))
		}
	}
	for _, b := range f.config.Balancers {
		if f.processes[b.Name] != nil {
			out = append(out, f.readState(b.Host))
		}
	}
	return out
}

// readState reads the state of the balancer or agent on a host. If there is no answer,
// it returns the zero value, which counts as not ready.
func (f *fleet) readState(host string) admin.State {
	var s admin.State
	_ = f.get(fmt.Sprintf("%s:%d", host, conf.AdminPort), "/state", &s)
	return s
}

// publish writes files to the configuration service as one revision.
func (f *fleet) publish(files []conf.File) error {
	var change plat.Publish
	for _, file := range files {
		change.Files = append(change.Files, peer.PlatformFile{Name: file.Name, Content: string(file.Content)})
	}
	return f.post(f.platformAddr(), "/control/publish", change)
}

// publishOverride publishes a file that sets one field of one object.
func (f *fleet) publishOverride(name, kind, object, field, value string) error {
	text := fmt.Sprintf(`{"Owner": "operator", %q: [{"Name": %q, %q: %q}]}`, kind, object, field, value)
	return f.publish([]conf.File{{Name: name, Content: []byte(text)}})
}

// updateFabric sends the fabric the list of running balancers, among which it
// distributes packets.
func (f *fleet) updateFabric() error {
	var hosts []string
	for _, b := range f.config.Balancers {
		if f.processes[b.Name] != nil {
			hosts = append(hosts, b.Host)
		}
	}
	return f.post(f.fabricHost()+":8080", "/control/balancers", hosts)
}

// get reads a page of the host and port in addr, and decodes its JSON.
func (f *fleet) get(addr, page string, into any) error {
	response, err := f.client.Get("http://" + addr + page)
	if err != nil {
		return errors.Wrapf(err, "get %s", page)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %s", page, response.Status)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "decode %s", page)
}

// post sends a value as JSON to a page of the host and port in addr.
func (f *fleet) post(addr, page string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	response, err := f.client.Post("http://"+addr+page, "application/json", bytes.NewReader(raw))
	if err != nil {
		return errors.Wrapf(err, "post %s", page)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %s", page, response.Status)
	}
	return nil
}
