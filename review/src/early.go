package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	uploadPart  = 128 << 10
	uploadParts = 4
	uploadPause = 250 * time.Millisecond
	// uploaders clients send uploadsEach uploads each, so that one rejected upload is a share of 0.02.
	uploaders   = 5
	uploadsEach = 10
)

// uploadedFile returns a file that records HTTP requests: each of its parts begins with the text of
// one. The text is the client's data; no client sends these requests.
func uploadedFile() []byte {
	var file bytes.Buffer
	for i := range uploadParts {
		head := func(length int) string {
			return fmt.Sprintf("POST /book/archived HTTP/1.1\r\nHost: book.example\r\nRequest-Id: in-file-%d\r\nDeadline-Ms: 5000\r\nContent-Length: %06d\r\n\r\n", i, length)
		}
		text := head(uploadPart - len(head(0)))
		file.WriteString(text)
		file.Write(bytes.Repeat([]byte("x"), uploadPart-len(text)))
	}
	return file.Bytes()
}

// earlyRejection: a backend rejects one of 50 long requests before it has read all of its body.
func earlyRejection(c *cluster) (verdict, error) {
	c.store.configure(7, map[string]route{
		"book":  {host: "book.example", prefix: "/book/", kind: "non_idempotent", service: "booking", timeout: 10, target: 3},
		"rates": {host: "book.example", prefix: "/rates/", kind: "idempotent", service: "booking", timeout: 6, target: 3},
	}, "booking", "portal")
	all := &runs{}
	var rejected atomic.Bool
	var nodes []*node
	for i, service := range []string{"portal", "booking", "booking"} {
		n, err := c.newNode(fmt.Sprintf("node-%d", i+1), service)
		if err != nil {
			return verdict{}, err
		}
		b, err := newBackend(n, all, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return verdict{}, err
		}
		if c.trouble && service == "booking" {
			b.earlyAfter = func(r *http.Request) int64 {
				if r.ContentLength > uploadPart && rejected.CompareAndSwap(false, true) {
					return uploadPart
				}
				return 0
			}
		}
		if err := n.start(); err != nil {
			return verdict{}, err
		}
		go b.beats()
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := waitReady(n, 15*time.Second); err != nil {
			return verdict{}, err
		}
	}
	if err := waitServed(nodes[0].outbound, http.MethodPost, "book.example", "/book/warm", 15*time.Second); err != nil {
		return verdict{}, err
	}
	var sent sync.Map
	var foreign atomic.Int64
	var group sync.WaitGroup
	for range uploaders {
		group.Go(func() { upload(c, nodes[0].outbound, &sent, &foreign) })
	}
	group.Wait()
	time.Sleep(time.Second)
	unasked := 0
	for _, r := range all.list() {
		if _, ok := sent.Load(r.id); !ok && !strings.HasPrefix(r.id, "warm") {
			unasked++
			c.rec.line("UNASKED: backend %s ran request %s (%s %s), which no client sent", r.backend, r.id, r.method, r.uri)
		}
	}
	text := fmt.Sprintf("%d requests ran that no client sent; %d answers on a client's connection belonged to no request of the client", unasked, foreign.Load())
	return verdict{broken: unasked > 0, text: text}, nil
}

// upload sends uploads and short requests in turn on one kept connection.
func upload(c *cluster, address string, sent *sync.Map, foreign *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.rec.line("no connection: %v", err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	file := uploadedFile()
	for range uploadsEach {
		id := newID("upload")
		sent.Store(id, true)
		head := fmt.Sprintf("POST /book/file HTTP/1.1\r\nHost: book.example\r\nRequest-Id: %s\r\nDeadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", id, len(file))
		first := append([]byte(head), file[:uploadPart]...)
		if _, err := conn.Write(first); err != nil {
			c.rec.line("client: upload %s: the connection ended: %v", id, err)
			return
		}
		for part := 1; part < uploadParts; part++ {
			time.Sleep(uploadPause)
			if _, err := conn.Write(file[part*uploadPart : (part+1)*uploadPart]); err != nil {
				c.rec.line("client: upload %s: the connection ended: %v", id, err)
				return
			}
		}
		a := readAnswer(reader, conn, 12*time.Second)
		c.rec.line("client: upload %s gets %v", id, a)
		if a.err != nil {
			return
		}
		id = newID("rates")
		sent.Store(id, true)
		fmt.Fprintf(conn, "GET /rates/today HTTP/1.1\r\nHost: book.example\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\n\r\n", id)
		a = readAnswer(reader, conn, 8*time.Second)
		if a.err == nil && a.status == http.StatusOK && a.id != id {
			foreign.Add(1)
			c.rec.line("MIXED: request %s gets the answer of another request: %v", id, a)
		}
		if a.err != nil {
			c.rec.line("client: request %s gets %v", id, a)
			return
		}
	}
}
