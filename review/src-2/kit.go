package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what happened to record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		cannotRun(err)
	}
	return &recorder{file: f, started: time.Now()}
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

var (
	log     *recorder
	trouble = os.Getenv("TROUBLE") != "0"
	nodes   []*node
)

var finishing sync.Mutex

// finish ends all processes and the test. Only the first call counts.
func finish(code int) {
	finishing.Lock()
	for _, n := range nodes {
		n.end()
	}
	if folder != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(folder)
	}
	os.Exit(code)
}

func cannotRun(err error) {
	if log != nil {
		log.note("the case could not run: %v", err)
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	finish(2)
}

// verdict reports whether the rule held.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word, code := "HELD", 0
	if broken {
		word, code = "BROKEN", 1
	}
	log.note("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	finish(code)
}

var lastPort = 21000 + os.Getpid()%160*60

// freeAddress returns an address below the ports that the system gives to connections.
func freeAddress() string {
	for {
		if lastPort++; lastPort > 31000 {
			lastPort = 21000
		}
		address := fmt.Sprintf("127.0.0.1:%d", lastPort)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

// node is a process of the project, started with the command of the deploy file.
type node struct {
	id, region, service                     string
	traffic, hop, control, announce, ready_ string
	metrics, backend, store                 string
	settings                                string
	process                                 *exec.Cmd
	output                                  *os.File
	exited                                  chan struct{}
}

// root is the repository, folder a temporary folder for settings and logs.
var root, folder string

func newNode(s *store, id, region, service string) *node {
	door, err := s.door(id)
	if err != nil {
		cannotRun(err)
	}
	n := &node{
		id: id, region: region, service: service, traffic: freeAddress(), hop: freeAddress(), control: freeAddress(),
		announce: freeAddress(), ready_: freeAddress(), metrics: freeAddress(), backend: freeAddress(), store: door,
	}
	nodes = append(nodes, n)
	return n
}

// start starts the process with settings like those that deploy/node.ini gives it.
func (n *node) start() {
	n.settings = filepath.Join(folder, n.id+".ini")
	text := fmt.Sprintf(`[node]
id = %s
region = %s
data_centre = %s-a
traffic_address = %s
hop_address = %s
control_address = %s
announce_address = %s
ready_address = %s
metrics_address = %s
stop_timeout = 6s

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
regions = north
`, n.id, n.region, n.region, n.traffic, n.hop, n.control, n.announce, n.ready_, n.metrics, n.service, n.backend, n.store)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		cannotRun(err)
	}
	n.process = exec.Command(filepath.Join(root, "target/jackdawlaned"), "platform", "--set", "configuration.max_age="+maxAge)
	n.process.Dir = root
	n.process.Env = []string{"JACKDAWLANE_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + folder}
	out, err := os.OpenFile(filepath.Join(folder, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err)
	}
	n.process.Stdout, n.process.Stderr = out, out
	if err := n.process.Start(); err != nil {
		cannotRun(err)
	}
	exited := make(chan struct{})
	n.exited = exited
	process := n.process
	go func() { process.Wait(); close(exited) }()
	log.note("%s: process started", n.id)
}

// maxAge is bounds.config_s of the site.
var maxAge = "2.5s"

func (n *node) signal(s syscall.Signal) {
	if n.process != nil && n.process.Process != nil {
		n.process.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
	log.note("%s: process killed", n.id)
}

func (n *node) end() {
	if n.process == nil || n.process.Process == nil {
		return
	}
	select {
	case <-n.exited:
		return
	default:
	}
	n.process.Process.Kill()
	<-n.exited
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := client.Get("http://" + n.ready_ + "/v1/readyz")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == 200 {
				return true
			}
		}
	}
	return false
}

// result is what a client saw.
type result struct {
	status                  int
	signature, body, failed string
	header                  http.Header
}

func (r result) String() string {
	if r.failed != "" {
		return "no answer (" + r.failed + ")"
	}
	text := strings.TrimSpace(r.body)
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	return fmt.Sprintf("%d, signature %q, %q", r.status, r.signature, text)
}

var idMu sync.Mutex
var idLast int

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	idLast++
	return fmt.Sprintf("%08x%08x", os.Getpid(), idLast)
}

// request sends one request to a node, on a connection of its own.
func (n *node) request(method, host, path, id string, deadline time.Duration, header map[string]string, body []byte) result {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+n.traffic+path, reader)
	if err != nil {
		cannotRun(err)
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		return result{failed: err.Error()}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	r := result{status: res.StatusCode, signature: res.Header.Get("Server-Signature"), body: string(data), header: res.Header}
	if err != nil {
		r.failed = "the answer broke off: " + err.Error()
	}
	return r
}
