package node

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/settings"
	"github.com/jackdawlane/jackdawlane/standin/link"
	"github.com/jackdawlane/jackdawlane/standin/loopback"
	standin "github.com/jackdawlane/jackdawlane/standin/objectstore"
)

const (
	// secret is that of the organisation "o", which sends requests, and of those who announce its pools.
	secret = "secret"
	// waitLimit bounds the time for which a test waits for something that must happen.
	waitLimit = 10 * time.Second
)

// authorization is the header line with which the organisation sends requests.
var authorization = "Proxy-Authorization: Basic " + base64.StdEncoding.EncodeToString([]byte("o:"+secret)) + "\r\n"

// fixture is a node that runs within the test process, with a store of its own. Its configuration
// has the route "/orders/" to the pool "p" of the service "s".
type fixture struct {
	*testing.T
	settings settings.Settings
	store    *standin.Server
	client   *objectstore.Client
	node     *Node
	changes  atomic.Int64
	// link carries the connections of the node to the store.
	link *link.Relay
	// stop stops the node and returns the error of Run.
	stop func() error
}

func startFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{T: t, store: standin.New(0)}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.CloseClientConnections)
	f.client = objectstore.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	t.Cleanup(f.client.Close)
	f.commit(config.Upserts{
		Organisations: []organisation.Organisation{{Name: "o", SecretSHA256: organisation.HashSecret(secret)}},
		Pools:         []pool.Pool{{Name: "p", Service: "s", AnnounceSecretSHA256: organisation.HashSecret(secret)}},
		Routes:        []route.Route{{Name: "work", Organisation: "o", PathPrefix: "/orders/", Pool: "p", TimeoutMS: 20_000}},
	})
	f.settings = f.loadSettings(f.relayTo(server.Listener.Addr()))
	ctx, cancel := context.WithCancel(context.Background())
	var err error
	f.node, err = New(ctx, f.settings, log.New(io.Discard), "test")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() {
		err := f.node.Run(ctx)
		if ctx.Err() == nil {
			t.Errorf("the node ended before it was stopped: %v", err)
		}
		ended <- err
	}()
	f.stop = func() error {
		cancel()
		err := <-ended
		ended <- err
		return err
	}
	t.Cleanup(func() { _ = f.stop() })
	f.waitUntil("a configuration in force", func() bool { return f.node.config.Snapshot().Version() > 0 })
	return f
}

// relayTo starts the relay to the store and returns its address.
func (f *fixture) relayTo(store net.Addr) net.Addr {
	l, err := loopback.Listen()
	assert.NilError(f, err)
	f.link = link.New(store.String())
	go f.link.Serve(l)
	f.Cleanup(func() { l.Close(); f.link.Reset() })
	return l.Addr()
}

// loadSettings returns the settings of a node on addresses of its own.
func (f *fixture) loadSettings(store net.Addr) settings.Settings {
	var addresses []any
	for range 5 {
		addresses = append(addresses, loopback.NextAddress())
	}
	text := fmt.Sprintf(`[node]
id = n1
region = r
data_centre = d
traffic_address = %s
hop_address = %s
control_address = %s
announce_address = %s
metrics_address = %s
stop_timeout = 3s
[store]
address = %s
`, append(addresses, store)...)
	file := filepath.Join(f.TempDir(), "node.ini")
	assert.NilError(f, os.WriteFile(file, []byte(text), 0o600))
	s, err := settings.Load(file)
	assert.NilError(f, err)
	return s
}

// commit makes a change of the configuration.
func (f *fixture) commit(u config.Upserts) {
	f.Helper()
	change := config.Change{ID: fmt.Sprint("c", f.changes.Add(1)), Operator: "ann", Upsert: u}
	_, err := config.NewEditor(f.client, time.Now).Commit(f.Context(), change)
	assert.NilError(f, err)
}

func (f *fixture) waitUntil(what string, ok func() bool) {
	f.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.Fatal("timed out waiting for: " + what)
}

// dial opens a connection to the traffic address.
func (f *fixture) dial() net.Conn {
	f.Helper()
	conn, err := net.Dial("tcp", f.settings.Node.TrafficAddress.String())
	assert.NilError(f, err)
	f.Cleanup(func() { conn.Close() })
	assert.NilError(f, conn.SetDeadline(time.Now().Add(waitLimit)))
	return conn
}
