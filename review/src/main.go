// Command review runs one case of the review: it starts nodes of the system as separate processes,
// with stand-ins of the platform's store, of backends and of clients, on loopback addresses.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*cluster) (verdict, error){
	"early-rejection":      earlyRejection,
	"rolled-while-leaving": rolledWhileLeaving,
	"rolled-while-waiting": rolledWhileWaiting,
	"second-answer":        secondAnswer,
	"silent-store":         silentStore,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	os.Exit(run1(*name, *root, *path))
}

func run1(name, root, path string) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption %v", name, trouble)
	c, err := newCluster(rec, root, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		v   verdict
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := f(c)
		done <- outcome{v, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			rec.line("the case could not run: %v", o.err)
			fmt.Fprintln(os.Stderr, "could not run:", o.err)
			return 2
		}
		rec.line("verdict: %s", o.v.text)
		fmt.Println(o.v.text)
		if o.v.broken {
			return 1
		}
		return 0
	case <-signals:
	case <-time.After(110 * time.Second):
	}
	fmt.Fprintln(os.Stderr, "could not run: interrupted or out of time")
	return 2
}
