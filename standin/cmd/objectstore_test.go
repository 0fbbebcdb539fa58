package cmd_test

import (
	"bufio"
	"context"
	"io"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/standin/cmd"
)

// Guards against a command that does not print its address in the first line, or that does not stop when
// its context ends: the scenarios rely on both.
func TestObjectStoreCommand(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	out, in := io.Pipe()
	root := cmd.NewRootCommand()
	root.SetOut(in)
	root.SetArgs([]string{"objectstore", "--listen", "127.0.0.1:0"})
	done := make(chan error, 1)
	go func() { done <- root.ExecuteContext(ctx) }()
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	address := strings.TrimPrefix(strings.TrimSpace(line), "listening on ")
	client := objectstore.New(netip.MustParseAddrPort(address))
	_, err = client.Put(ctx, "k", nil, objectstore.Condition{})
	assert.NilError(t, err)
	client.Close()
	stop()
	assert.NilError(t, <-done)
}

func TestObjectStoreCommandRefusesHostName(t *testing.T) {
	root := cmd.NewRootCommand()
	root.SetErr(io.Discard)
	root.SetArgs([]string{"objectstore", "--listen", "localhost:0"})
	assert.ErrorContains(t, root.ExecuteContext(t.Context()), "an IP address and port")
}
