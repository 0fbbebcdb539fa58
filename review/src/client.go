package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// newID returns the ID of a client attempt.
func newID(prefix string) string { return fmt.Sprintf("%s-%04d", prefix, requestNumber.Add(1)) }

// waitReady waits until a node says that it is ready.
func waitReady(n *node, limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %s", n.name, limit)
}

// answer is what a client gets.
type answer struct {
	status             int
	id, signature      string
	body, contentRange string
	err                error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, Request-Id %q, signature %q, body %q", a.status, a.id, a.signature, a.body)
}

// readAnswer reads the next answer of a connection.
func readAnswer(reader *bufio.Reader, c net.Conn, limit time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, id: res.Header.Get("Request-Id"), signature: res.Header.Get("Server-Signature"), body: string(body), err: err}
}

// ask sends a request without a long body on a connection of its own and returns the answer.
func ask(address, method, host, path, id string, deadline time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	length := ""
	if method != http.MethodGet {
		length = "Content-Length: 4\r\n"
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n", method, path, host, id, deadline.Milliseconds(), length)
	if length != "" {
		_, _ = io.WriteString(c, "body")
	}
	return readAnswer(bufio.NewReader(c), c, deadline)
}

// waitServed waits until requests to the path are served at the address.
func waitServed(address, method, host, path string, limit time.Duration) error {
	var last answer
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if last = ask(address, method, host, path, newID("warm"), 2*time.Second); last.status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("requests to %s are not served after %s: %v", path, limit, last)
}
