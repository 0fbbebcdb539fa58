package scenarios

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/control"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

const (
	// conditionTimeout bounds every wait for a condition. It only ends scenarios
	// that hang and does not state how fast a condition should hold.
	conditionTimeout = 60 * time.Second
	pollInterval     = 20 * time.Millisecond
	secret           = "secret"
)

type fleetKey struct{}

// process is a program that a scenario has started, with the addresses that it listens on.
type process struct {
	name      string
	args      []string
	addresses map[string]string
	// admin is the address and path at which faults are set; it is empty for nodes.
	admin   string
	service string
	command *exec.Cmd
	done    chan struct{}
}

// fleet holds the processes, the requests and the loads of one scenario.
type fleet struct {
	workDir string
	env     *testscript.Env
	client  *control.Client

	mu        sync.Mutex
	processes map[string]*process
	order     []string
	requests  map[string]*request
	loaders   map[string]*loader
	watchers  []*floorWatcher
	// awaitSuccessSent counts the requests that the command await-success has sent.
	awaitSuccessSent int
}

func newFleet(env *testscript.Env) *fleet {
	return &fleet{
		workDir:   env.WorkDir,
		env:       env,
		client:    control.NewClient(),
		processes: make(map[string]*process),
		requests:  make(map[string]*request),
		loaders:   make(map[string]*loader),
	}
}

func withFleet(f func(*fleet, *testscript.TestScript, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this script command cannot be negated with !")
		}
		f(ts.Value(fleetKey{}).(*fleet), ts, args)
	}
}

// check fails the script if err is not nil.
func check(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

func (f *fleet) process(ts *testscript.TestScript, name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	if !ok {
		ts.Fatalf("the scenario has started no process named %s", name)
	}
	return p
}

// programPath returns the path of a program that TestMain has put into PATH.
func programPath(ts *testscript.TestScript, name string) string {
	for directory := range strings.SplitSeq(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		candidate := filepath.Join(directory, name)
		if _, err := os.Stat(candidate); err == nil {
			return candidate
		}
	}
	ts.Fatalf("program %s is not in PATH", name)
	return ""
}

// start starts the program of p and appends its output to the log file of p.
func (f *fleet) start(ts *testscript.TestScript, p *process) {
	log, err := os.OpenFile(filepath.Join(f.workDir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(ts, err)
	p.command = exec.Command(programPath(ts, p.args[0]), p.args[1:]...)
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
	for _, l := range f.loaders {
		l.stop()
	}
	f.stopWatchers()
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
}

// waitFor waits until a condition holds, and fails the script after conditionTimeout.
func waitFor(ts *testscript.TestScript, what string, condition func() bool) {
	for end := time.Now().Add(conditionTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			ts.Fatalf("condition does not hold after %s: %s", conditionTimeout, what)
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
// starts the stand-in for the object store.
func (f *fleet) startStore(ts *testscript.TestScript, _ []string) {
	address := loopback.NextAddress().String()
	p := &process{name: "store", admin: address + "/admin/faults", addresses: map[string]string{"store": address}}
	p.args = []string{"jackdawstub", "objectstore", "--listen", address, "--calls-per-second", "0"}
	f.start(ts, p)
	ts.Setenv("JACKDAWLANE_STORE", address)
	waitFor(ts, "store listens", func() bool { return listening(address) })
}

// applyTables: tables
// applies a configuration with two organisations, each of which has one route to
// each of the services slot (idempotent), booking and proof. The pools have a floor of 2.
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
	file := filepath.Join(f.workDir, "tables.json")
	check(ts, os.WriteFile(file, []byte(text), 0o600))
	check(ts, ts.Exec("jackdawlane", "apply", file))
}

// startLink starts a TCP relay in front of target and returns the address of the relay.
func (f *fleet) startLink(ts *testscript.TestScript, name, target string) string {
	address, admin := loopback.NextAddress().String(), loopback.NextAddress().String()
	p := &process{name: name, admin: admin + "/link", addresses: map[string]string{"link": address}}
	p.args = []string{"jackdawstub", "link", "--address", address, "--target", target, "--admin", admin}
	f.start(ts, p)
	waitFor(ts, name+" listens", func() bool { return listening(admin) })
	return address
}

// startNode: node NAME REGION DATA-CENTRE [links] [seed=NODE] [section.key=value ...]
// starts a node. Its seeds are all nodes started before it, or only the one given.
// With links, other nodes reach it through the TCP relays NAME.hop and NAME.control,
// and it reaches the store through the TCP relay NAME.store.
func (f *fleet) startNode(ts *testscript.TestScript, args []string) {
	name, region, dataCentre := args[0], args[1], args[2]
	values := map[string]map[string]string{
		"node":  {"id": name, "region": region, "data_centre": dataCentre},
		"store": {"address": ts.Getenv("JACKDAWLANE_STORE"), "timeout": "1s"},
		"peers": {"seeds": f.seeds()},
	}
	p := &process{name: name, addresses: map[string]string{}}
	for _, kind := range []string{"traffic", "hop", "control", "announce", "metrics"} {
		p.addresses[kind] = loopback.NextAddress().String()
		values["node"][kind+"_address"] = p.addresses[kind]
	}
	p.addresses["advertise"] = p.addresses["control"]
	for _, arg := range args[3:] {
		if arg == "links" {
			p.addresses["advertise"] = f.startLink(ts, name+".control", p.addresses["control"])
			values["node"]["control_advertise"] = p.addresses["advertise"]
			values["node"]["hop_advertise"] = f.startLink(ts, name+".hop", p.addresses["hop"])
			values["store"]["address"] = f.startLink(ts, name+".store", values["store"]["address"])
			continue
		}
		key, value, _ := strings.Cut(arg, "=")
		if key == "seed" {
			values["peers"]["seeds"] = f.process(ts, value).addresses["advertise"]
			continue
		}
		section, key, _ := strings.Cut(key, ".")
		if values[section] == nil {
			values[section] = map[string]string{}
		}
		values[section][key] = value
	}
	file := filepath.Join(f.workDir, name+".ini")
	check(ts, os.WriteFile(file, iniText(values), 0o600))
	p.args = []string{"jackdawlaned", "--settings", file}
	if ts.Getenv("JACKDAWLANE_NODE") == "" {
		ts.Setenv("JACKDAWLANE_NODE", p.addresses["control"])
	}
	f.start(ts, p)
	waitFor(ts, name+" listens", func() bool { return listening(p.addresses["traffic"]) })
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

// seeds returns the advertised control addresses of the nodes started so far.
func (f *fleet) seeds() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seeds []string
	for _, name := range f.order {
		if address := f.processes[name].addresses["advertise"]; address != "" {
			seeds = append(seeds, address)
		}
	}
	return strings.Join(seeds, ",")
}

// startBackend: backend NAME SERVICE NODE[,NODE ...] [settings as JSON]
// starts a stand-in backend server that may announce itself to any of the nodes.
func (f *fleet) startBackend(ts *testscript.TestScript, args []string) {
	var guards []string
	for node := range strings.SplitSeq(args[2], ",") {
		guards = append(guards, f.process(ts, node).addresses["announce"])
	}
	settings := "{}"
	if len(args) > 3 {
		settings = args[3]
	}
	address := loopback.NextAddress().String()
	p := &process{name: args[0], service: args[1], admin: address + "/admin/settings", addresses: map[string]string{"backend": address}}
	p.args = []string{"jackdawstub", "backend", "--service", args[1], "--secret", secret,
		"--address", address, "--guard", strings.Join(guards, ","), "--settings", settings}
	f.start(ts, p)
}

// restart: restart NAME
// waits until a process has ended and starts it again with the same arguments.
func (f *fleet) restart(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[0])
	<-p.done
	f.start(ts, p)
	if address := p.addresses["traffic"]; address != "" {
		waitFor(ts, p.name+" listens", func() bool { return listening(address) })
	}
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "terminate": syscall.SIGTERM,
}

// signal: signal NAME kill|freeze|thaw|terminate
// sends a signal to a process. After kill it waits until the process has ended.
func (f *fleet) signal(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[0])
	check(ts, p.command.Process.Signal(signals[args[1]]))
	if args[1] == "kill" {
		<-p.done
	}
}

// awaitExit: await-exit NAME CODE
// waits until a process has ended and checks its exit code.
func (f *fleet) awaitExit(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(conditionTimeout):
		ts.Fatalf("%s has not exited in time", p.name)
	}
	if code := fmt.Sprint(p.command.ProcessState.ExitCode()); code != args[1] {
		ts.Fatalf("%s exited with the unexpected code %s", p.name, code)
	}
}

// fault: fault NAME JSON
// sets the faults of a stand-in or of a TCP relay.
func (f *fleet) fault(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[0])
	r, err := http.NewRequest(http.MethodPut, "http://"+p.admin, strings.NewReader(args[1]))
	check(ts, err)
	res, err := http.DefaultClient.Do(r)
	check(ts, err)
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		ts.Fatalf("setting the faults failed: %s", res.Status)
	}
}
