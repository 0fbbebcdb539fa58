package loopback

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"
)

// printHost makes the test program print its host and end, so that a test can compare two processes.
const printHost = "LOOPBACK_PRINT_HOST"

func TestMain(m *testing.M) {
	if os.Getenv(printHost) != "" {
		fmt.Print(Host())
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestProcessesHaveDifferentHosts(t *testing.T) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), printHost+"=1")
	out, err := command.Output()
	assert.NilError(t, err)
	assert.Assert(t, string(out) != Host().String(), "both have %s", out)
}

// Guards against an address that is in use when its program starts, because a listener or an outgoing
// connection of 127.0.0.1 took the port after it was chosen.
func TestPortTakenMeanwhileDoesNotMatter(t *testing.T) {
	address := NextAddress()
	other, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", address.Port()))
	assert.NilError(t, err)
	defer other.Close()
	l, err := net.Listen("tcp", address.String())
	assert.NilError(t, err)
	l.Close()
}

func TestEachAddressIsReturnedOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		address := NextAddress().String()
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
}
