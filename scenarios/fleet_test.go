package scenarios

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/control"
	"github.com/jackdawlane/jackdawlane/organisation"
)

const (
	// conditionTimeout bounds every wait for a condition; it is no expectation of speed.
	conditionTimeout = 60 * time.Second
	pollInterval     = 20 * time.Millisecond
	secret           = "secret"
)

type fleetKey struct{}

// process is a started program and the addresses it was given.
type process struct {
	name    string
	args    []string
	address map[string]string
	// admin is where faults are set; empty for nodes.
	admin   string
	service string
	command *exec.Cmd
	done    chan struct{}
}

// fleet holds the processes and the requests of one scenario.
type fleet struct {
	directory string
	env       *testscript.Env
	client    *control.Client

	mu        sync.Mutex
	processes map[string]*process
	order     []string
	requests  map[string]*request
	loads     map[string]*loader
	watchers  []*watcher
	// served counts the requests of the command serves.
	served int
}

func newFleet(env *testscript.Env) *fleet {
	return &fleet{
		directory: env.WorkDir,
		env:       env,
		client:    control.NewClient(),
		processes: make(map[string]*process),
		requests:  make(map[string]*request),
		loads:     make(map[string]*loader),
	}
}

func withFleet(f func(*fleet, *testscript.TestScript, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the command cannot be negated")
		}
		f(ts.Value(fleetKey{}).(*fleet), ts, args)
	}
}

// check ends the script on an error.
func check(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

// nextPort hands out ports below the range from which the system takes the
// ports of outgoing connections, so that no connection can take one of them
// between its choice here and the start of the process that listens on it.
var nextPort atomic.Int32

const firstPort, lastPort = 20_000, 32_000

// Runs of the scenarios at the same time on one machine start at different ports.
func init() { nextPort.Store(rand.Int32N(lastPort - firstPort)) }

// freeAddress returns a loopback address that no other process of the scenarios gets.
func freeAddress(ts *testscript.TestScript) string {
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	ts.Fatalf("no free port")
	return ""
}

func (f *fleet) process(ts *testscript.TestScript, name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	if !ok {
		ts.Fatalf("no process is named %s", name)
	}
	return p
}

// program returns the path of a program of the project.
func program(ts *testscript.TestScript, name string) string {
	for directory := range strings.SplitSeq(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		candidate := filepath.Join(directory, name)
		if _, err := os.Stat(candidate); err == nil {
			return candidate
		}
	}
	ts.Fatalf("no program %s", name)
	return ""
}

// start runs a program of the project under a name.
func (f *fleet) start(ts *testscript.TestScript, p *process) {
	log, err := os.OpenFile(filepath.Join(f.directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(ts, err)
	p.command = exec.Command(program(ts, p.args[0]), p.args[1:]...)
	p.command.Stdout = log
	p.command.Stderr = log
	check(ts, p.command.Start())
	p.done = make(chan struct{})
	done := p.done
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.processes[p.name] == nil {
		f.order = append(f.order, p.name)
	}
	f.processes[p.name] = p
}

func (f *fleet) killAll() {
	for _, l := range f.loads {
		l.stop()
	}
	f.stopWatchers()
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
}

// waitFor polls a condition.
func waitFor(ts *testscript.TestScript, what string, condition func() bool) {
	for end := time.Now().Add(conditionTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			ts.Fatalf("after %s still not: %s", conditionTimeout, what)
		}
	}
}

func listening(address string) bool {
	c, err := net.Dial("tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

// startStore: store
func (f *fleet) startStore(ts *testscript.TestScript, _ []string) {
	address := freeAddress(ts)
	p := &process{name: "store", admin: address + "/admin/faults", address: map[string]string{"store": address}}
	p.args = []string{"jackdawstub", "objectstore", "--listen", address, "--calls-per-second", "0"}
	f.start(ts, p)
	ts.Setenv("JACKDAWLANE_STORE", address)
	waitFor(ts, "store listens", func() bool { return listening(address) })
}

// applyTables: tables. Two organisations with a route each to the services slot
// (idempotent), booking and proof, with a floor of 2.
func (f *fleet) applyTables(ts *testscript.TestScript, _ []string) {
	hash := organisation.HashSecret(secret)
	var routes, pools, organisations []string
	for _, service := range []string{"slot", "booking", "proof"} {
		pools = append(pools, fmt.Sprintf(`{"name":%q,"service":%q,"floor":2,"announce_secret_sha256":%q}`, service, service, hash))
	}
	for _, name := range []string{"kitami", "hooghly"} {
		organisations = append(organisations, fmt.Sprintf(`{"name":%q,"secret_sha256":%q}`, name, hash))
		for _, service := range []string{"slot", "booking", "proof"} {
			routes = append(routes, fmt.Sprintf(`{"name":%q,"organisation":%q,"path_prefix":"/%s","pool":%q,"idempotent":%t,"timeout_ms":5000}`,
				service, name, service, service, service == "slot"))
		}
	}
	text := fmt.Sprintf(`{"upsert":{"routes":[%s],"pools":[%s],"organisations":[%s]}}`,
		strings.Join(routes, ","), strings.Join(pools, ","), strings.Join(organisations, ","))
	file := filepath.Join(f.directory, "tables.json")
	check(ts, os.WriteFile(file, []byte(text), 0o600))
	check(ts, ts.Exec("jackdawlane", "apply", file))
}

// startLink starts a relay before target and returns its address.
func (f *fleet) startLink(ts *testscript.TestScript, name, target string) string {
	address, admin := freeAddress(ts), freeAddress(ts)
	p := &process{name: name, admin: admin + "/link", address: map[string]string{"link": address}}
	p.args = []string{"jackdawstub", "link", "--address", address, "--target", target, "--admin", admin}
	f.start(ts, p)
	waitFor(ts, name+" listens", func() bool { return listening(admin) })
	return address
}

// startNode: node NAME REGION DATA-CENTRE [links] [seed=NODE] [section.key=value ...]
// The seeds are all nodes before it, or the one given.
// With links, other nodes reach it through relays NAME.hop and NAME.control,
// and it reaches the store through NAME.store.
func (f *fleet) startNode(ts *testscript.TestScript, args []string) {
	name, region, dataCentre := args[0], args[1], args[2]
	values := map[string]map[string]string{
		"node":  {"id": name, "region": region, "data_centre": dataCentre},
		"store": {"address": ts.Getenv("JACKDAWLANE_STORE"), "timeout": "1s"},
		"peers": {"seeds": f.seeds()},
	}
	p := &process{name: name, address: map[string]string{}}
	for _, kind := range []string{"traffic", "hop", "control", "announce", "metrics"} {
		p.address[kind] = freeAddress(ts)
		values["node"][kind+"_address"] = p.address[kind]
	}
	p.address["advertise"] = p.address["control"]
	for _, arg := range args[3:] {
		if arg == "links" {
			p.address["advertise"] = f.startLink(ts, name+".control", p.address["control"])
			values["node"]["control_advertise"] = p.address["advertise"]
			values["node"]["hop_advertise"] = f.startLink(ts, name+".hop", p.address["hop"])
			values["store"]["address"] = f.startLink(ts, name+".store", values["store"]["address"])
			continue
		}
		key, value, _ := strings.Cut(arg, "=")
		if key == "seed" {
			values["peers"]["seeds"] = f.process(ts, value).address["advertise"]
			continue
		}
		section, key, _ := strings.Cut(key, ".")
		if values[section] == nil {
			values[section] = map[string]string{}
		}
		values[section][key] = value
	}
	file := filepath.Join(f.directory, name+".ini")
	check(ts, os.WriteFile(file, iniText(values), 0o600))
	p.args = []string{"jackdawlaned", "--settings", file}
	if ts.Getenv("JACKDAWLANE_NODE") == "" {
		ts.Setenv("JACKDAWLANE_NODE", p.address["control"])
	}
	f.start(ts, p)
	waitFor(ts, name+" listens", func() bool { return listening(p.address["traffic"]) })
}

func iniText(values map[string]map[string]string) []byte {
	var b bytes.Buffer
	for section, keys := range values {
		fmt.Fprintf(&b, "[%s]\n", section)
		for key, value := range keys {
			fmt.Fprintf(&b, "%s = %s\n", key, value)
		}
	}
	return b.Bytes()
}

// seeds returns the control addresses of the nodes started so far.
func (f *fleet) seeds() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seeds []string
	for _, name := range f.order {
		if address := f.processes[name].address["advertise"]; address != "" {
			seeds = append(seeds, address)
		}
	}
	return strings.Join(seeds, ",")
}

// startBackend: backend NAME SERVICE NODE[,NODE ...] [settings as JSON]
func (f *fleet) startBackend(ts *testscript.TestScript, args []string) {
	var guards []string
	for node := range strings.SplitSeq(args[2], ",") {
		guards = append(guards, f.process(ts, node).address["announce"])
	}
	settings := "{}"
	if len(args) > 3 {
		settings = args[3]
	}
	address := freeAddress(ts)
	p := &process{name: args[0], service: args[1], admin: address + "/admin/settings", address: map[string]string{"backend": address}}
	p.args = []string{"jackdawstub", "backend", "--service", args[1], "--secret", secret,
		"--address", address, "--guard", strings.Join(guards, ","), "--settings", settings}
	f.start(ts, p)
}

// restart: restart NAME, with the same arguments.
func (f *fleet) restart(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[0])
	<-p.done
	f.start(ts, p)
	if address := p.address["traffic"]; address != "" {
		waitFor(ts, p.name+" listens", func() bool { return listening(address) })
	}
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "terminate": syscall.SIGTERM,
}

// signal: signal NAME kill|freeze|thaw|terminate
func (f *fleet) signal(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[0])
	check(ts, p.command.Process.Signal(signals[args[1]]))
	if args[1] == "kill" {
		<-p.done
	}
}

// exited: exited NAME CODE waits until the process has ended.
func (f *fleet) exited(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(conditionTimeout):
		ts.Fatalf("%s has not ended", p.name)
	}
	if code := fmt.Sprint(p.command.ProcessState.ExitCode()); code != args[1] {
		ts.Fatalf("%s ended with %s", p.name, code)
	}
}

// fault: fault NAME JSON sets the faults of a stand-in.
func (f *fleet) fault(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[0])
	r, err := http.NewRequest(http.MethodPut, "http://"+p.admin, strings.NewReader(args[1]))
	check(ts, err)
	res, err := http.DefaultClient.Do(r)
	check(ts, err)
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		ts.Fatalf("fault: %s", res.Status)
	}
}
