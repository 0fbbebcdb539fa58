package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to the record of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cluster holds the processes and stand-ins of a case.
type cluster struct {
	rec     *record
	root    string
	dir     string
	trouble bool
	store   *store
	nodes   []*node
	stopped bool
}

func newCluster(rec *record, root string, trouble bool) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &cluster{rec: rec, root: root, dir: dir, trouble: trouble, store: s}, nil
}

// close ends all processes that the case started.
func (c *cluster) close() {
	if c.stopped {
		return
	}
	c.stopped = true
	for _, n := range c.nodes {
		n.kill()
	}
	os.RemoveAll(c.dir)
}

// reserved holds the addresses that freeAddress has returned.
var reserved sync.Map

// freeAddress returns a free loopback address. Its port is below those that the operating system gives
// to outgoing connections.
func freeAddress() string {
	for {
		address := "127.0.0.1:" + strconv.Itoa(10240+rand.IntN(22000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		if _, taken := reserved.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

// node is one process of the system with the addresses of its machine.
type node struct {
	cluster                             *cluster
	name, service, region, zone         string
	outbound, inbound, ready, control   string
	app, internal0, internal1, settings string
	storeAddress                        string
	cmd                                 *exec.Cmd
	ended                               chan struct{}
}

// newNode reserves the addresses of a machine and writes the settings file of its node, from the
// template of the deploy file.
func (c *cluster) newNode(name, service string) (*node, error) {
	n := &node{
		cluster: c, name: name, service: service, region: "east", zone: "east-1",
		outbound: freeAddress(), inbound: freeAddress(), ready: freeAddress(), control: freeAddress(),
		app: freeAddress(), internal0: freeAddress(), internal1: freeAddress(), storeAddress: c.store.address,
	}
	template, err := os.ReadFile(filepath.Join(c.root, "deploy", "node.ini"))
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node_name}}", n.name, "{{region}}", n.region, "{{zone}}", n.zone,
		"{{listen.outbound}}", n.outbound, "{{listen.inbound}}", n.inbound,
		"{{ip}}:{{internal_ports.0}}", n.internal0, "{{ip}}:{{internal_ports.1}}", n.internal1,
		"{{listen.control}}", n.control, "{{listen.ready}}", n.ready,
		"{{bounds.grace_s}}", "6", "{{service}}", n.service, "{{app_address}}", n.app,
		"{{platform.address}}", n.storeAddress, "{{#limits.memory_mb}}memory_mb = {{limits.memory_mb}}{{/limits.memory_mb}}", "memory_mb = 184",
		"{{#bounds.strict_revoke}}revocation_bound = {{bounds.revoke_s}}s{{/bounds.strict_revoke}}", "",
		"{{#bounds.quota_window_s}}window = {{bounds.quota_window_s}}s{{/bounds.quota_window_s}}", "",
		"{{#bounds.quota_overage}}overage = {{bounds.quota_overage}}{{/bounds.quota_overage}}", "",
		"{{#bounds.quota_slack}}slack = {{bounds.quota_slack}}{{/bounds.quota_slack}}", "",
		"{{#zones}}{{.}}{{,}}{{/zones}}", n.region,
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "58", "{{bounds.budget_window_s}}", "10",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("deploy/node.ini has a placeholder that this stand-in does not know")
	}
	n.settings = filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	c.nodes = append(c.nodes, n)
	return n, nil
}

// start starts the process of the node with the command of the deploy file.
func (n *node) start() error {
	n.cmd = exec.Command(filepath.Join(n.cluster.root, "target", "jackdawlaned"), "platform")
	n.cmd.Dir = n.cluster.root
	n.cmd.Env = []string{"JACKDAWLANE_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	log, err := os.OpenFile(filepath.Join(n.cluster.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.cluster.rec.line("node %s (%s) starts, process %d", n.name, n.service, n.cmd.Process.Pid)
	ended := make(chan struct{})
	n.ended = ended
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// log returns the last lines of the node's log that contain the text.
func (n *node) log(text string) []string {
	data, err := os.ReadFile(filepath.Join(n.cluster.dir, n.name+".log"))
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}
