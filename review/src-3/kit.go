// Command kit-3 holds the cases of the third review that are scripts. Each case starts nodes with the command of
// the deploy file, plays the platform, the backend servers and the clients, and judges what these have seen.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawlane/jackdawlane/platform/standin"
)

// Figures of a small deployment, as its terms state them.
const (
	configMaxAge = "2.5s"
	graceTime    = 6 * time.Second
	drainTime    = 2500 * time.Millisecond
	beatInterval = 1500 * time.Millisecond
	slots        = 7
)

// errCannotRun means that a case could not be set up.
var errCannotRun = errors.New("the case cannot run")

// fixture is one run of a case.
type fixture struct {
	dir     string
	trouble bool
	started time.Time
	store   *standin.Store
	late    *lateStore
	address string
	nodes   []*node
	mu      sync.Mutex
	record  *os.File
}

func newFixture(trouble bool) (*fixture, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := standin.NewStore()
	f := &fixture{dir: dir, trouble: trouble, started: time.Now(), store: store, late: &lateStore{inner: store}, address: l.Addr().String(), record: record}
	go func() { _ = http.Serve(l, f.late) }()
	f.note("trouble: %t", trouble)
	return f, nil
}

// note writes a line with the time since the start to the record.
func (f *fixture) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the processes that the case has started.
func (f *fixture) close() {
	for _, n := range f.nodes {
		n.kill()
	}
	f.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

// node is one process of the system on a VM of its own.
type node struct {
	f             *fixture
	name, service string
	// The addresses are those of the node, and of its backend server.
	traffic, hop, control, announce, ready, metrics, backend string
	process                                                  *exec.Cmd
}

// freeAddresses returns unused addresses of one loopback IP address.
func freeAddresses(ip string, n int) ([]string, error) {
	var all []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return all, nil
}

// nodeIP returns the loopback IP address of the i-th VM. Runs at the same time have others.
func nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&127, pid&255, 1+i)
}

// addNode adds a VM whose backend server belongs to a service.
func (f *fixture) addNode(name, service string) (*node, error) {
	p, err := freeAddresses(nodeIP(len(f.nodes)), 7)
	if err != nil {
		return nil, err
	}
	n := &node{f: f, name: name, service: service, traffic: p[0], hop: p[1], control: p[2], announce: p[3], ready: p[4], metrics: p[5], backend: p[6]}
	f.nodes = append(f.nodes, n)
	return n, n.start()
}

func (n *node) settingsPath() string { return filepath.Join(n.f.dir, n.name+".ini") }

// writeSettings writes the settings file, with the sections of deploy/node.ini.
func (n *node) writeSettings() error {
	text := fmt.Sprintf(`[node]
id = %s
region = howrah
data_centre = howrah-a
traffic_address = %s
hop_address = %s
control_address = %s
announce_address = %s
ready_address = %s
metrics_address = %s
stop_timeout = %ds

[backend_server]
service = %s
address = %s

[limits]
memory_mb = 284

[store]
address = %s

[retries]
share = 0.2
spare = 62
window = 10s

[organisations]
regions = howrah
`, n.name, n.traffic, n.hop, n.control, n.announce, n.ready, n.metrics, int(graceTime.Seconds()),
		n.service, n.backend, n.f.address)
	temporary := n.settingsPath() + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, n.settingsPath())
}

func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(n.f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	program := os.Getenv("JACKDAWLANED")
	if program == "" {
		return errCannotRun
	}
	n.process = exec.Command(program, "platform", "--set", "configuration.max_age="+configMaxAge)
	n.process.Env = append(os.Environ(), "JACKDAWLANE_NODE_FILE="+n.settingsPath())
	n.process.Stdout, n.process.Stderr = output, output
	if err := n.process.Start(); err != nil {
		return err
	}
	go func() { _ = n.process.Wait() }()
	return nil
}

func (n *node) kill() { _ = n.process.Process.Kill() }

// awaitReady waits until the node reports that it takes requests.
func (n *node) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errCannotRun
}

// routeSpec is a route of the operator's configuration.
type routeSpec struct {
	Host           string  `json:"host"`
	PathPrefix     string  `json:"path_prefix"`
	RouteType      string  `json:"route_type"`
	TimeoutS       float64 `json:"timeout_s"`
	TargetLatencyS float64 `json:"target_latency_s"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service"`
	MaxAttempts    int     `json:"max_attempts"`
}

// configure writes a version of the configuration, as the operator does.
func (f *fixture) configure(version int, routes map[string]routeSpec, services ...string) {
	all := make(map[string]any)
	for _, s := range services {
		all[s] = map[string]any{"health_path": "/healthz", "max_connections": 390, "protocol": "h1", "tls": false}
	}
	body, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	f.store.Put("config", "main", string(body))
	f.note("configuration %d", version)
}

// beat is what a backend server says of itself.
type beat struct {
	Service     string  `json:"service"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Version     string  `json:"version"`
	Capacity    int     `json:"capacity"`
	State       string  `json:"state"`
	WarmupLeftS float64 `json:"warmup_left_s"`
	Sequence    int     `json:"sequence"`
	Born        int64   `json:"born"`
}

// announce sends a call of a backend server to its VM's node and returns the status of the response.
func (n *node) announceCall(method, instance string, body any) int {
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.announce+"/v1/instances/"+instance, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// verdict ends a case: its text, and whether the rule was kept.
type verdict struct {
	text string
	kept bool
}

func run(name string, play func(f *fixture) (verdict, error)) int {
	f, err := newFixture(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(name+":", err)
		return 2
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.close()
		os.Exit(2)
	}()
	v, err := play(f)
	if err != nil {
		f.note("cannot run: %s", strings.ReplaceAll(err.Error(), f.dir, "."))
		fmt.Println(name + ": cannot run")
		return 2
	}
	f.note("%s", v.text)
	fmt.Println(name+":", v.text)
	if v.kept {
		return 0
	}
	return 1
}

func main() {
	cases := map[string]func(*fixture) (verdict, error){
		"gone": playGone, "stopped": playStopped, "late-write": playLateWrite, "odd-entry": playOddEntry, "stale-leave": playStaleLeave,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: kit-3 CASE")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], cases[os.Args[1]]))
}
