// Package permit carries requests for permits between entries and the owners of organisations' limits,
// over HTTP on the hop address. Package quota makes the decisions.
package permit

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/quota"
)

const (
	// searchTimeout bounds the search for a permit, so that several owners that do not reply cannot use
	// up the time of a request.
	searchTimeout = 600 * time.Millisecond
	// maxIdleConnections is the number of idle connections kept to each owner. Concurrent requests for
	// permits share messages, so more are hardly ever open.
	maxIdleConnections = 2
)

// Metrics counts events by name.
type Metrics interface {
	Add(name string, delta int64)
}

// Config holds the settings and dependencies of a node.
type Config struct {
	Self    quota.Node
	Regions []string
	Terms   quota.Terms
	// Incarnation differs between processes.
	Incarnation string
	// Limit returns the limit of an organisation by the configuration in force; false if that does not
	// contain the organisation.
	Limit func(name string) (organisation.Limit, bool)
	// Now is a monotonic clock.
	Now     func() time.Duration
	Metrics Metrics
	// ObserveAge is called with the age of the information that a refusal rests on.
	ObserveAge func(age time.Duration)
}

// Node gets permits for the entry of a node, and grants those that the node owns. It sends no message
// and keeps no state for organisations without a limit.
type Node struct {
	config    Config
	transport exchange.Client
	// mu guards the fields below, which hold no lock during a message.
	mu        sync.Mutex
	directory *quota.Directory
	owner     *quota.Owner
	client    *quota.Client
	batches   map[batchKey]*batch
}

// NewNode returns a node that knows no other nodes yet.
func NewNode(c Config) *Node {
	return &Node{
		config:    c,
		transport: exchange.Client{Transport: exchange.NewTransport(quota.ReplyTimeout, 0, maxIdleConnections)},
		directory: quota.NewDirectory(c.Self, c.Regions, c.Now()),
		owner:     quota.NewOwner(c.Terms, c.Incarnation),
		client:    quota.NewClient(),
		batches:   make(map[batchKey]*batch),
	}
}

// UpdateNodes replaces the nodes of the fleet, among which the owners are chosen.
func (n *Node) UpdateNodes(nodes []quota.Node) {
	known := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		known[node.ID] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directory.Update(n.config.Now(), nodes)
	n.client.Retain(func(node string) bool { return known[node] })
}

// aliveInterval is the time between two checks whether the process was paused.
const aliveInterval = 500 * time.Millisecond

// NoticePauses notices pauses of the process until ctx ends. It is needed while organisations have limits.
func (n *Node) NoticePauses(ctx context.Context) {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		n.mu.Lock()
		n.directory.Alive(n.config.Now())
		n.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Take returns a permit for one request of the organisation, or the reason why there is none.
func (n *Node) Take(ctx context.Context, o organisation.Organisation) (quota.Permit, *quota.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	n.mu.Lock()
	search := n.client.Search(o.Name, n.directory.Parts(o.Name))
	n.mu.Unlock()
	for ctx.Err() == nil {
		n.mu.Lock()
		ask, found := search.Next(n.config.Now())
		n.mu.Unlock()
		if !found {
			break
		}
		reply, received := n.ask(ctx, ask)
		if !received {
			break
		}
		n.mu.Lock()
		permit, granted := search.Learn(n.config.Now(), ask, reply)
		n.mu.Unlock()
		if granted {
			n.config.Metrics.Add("permits.granted", 1)
			return permit, nil
		}
	}
	refusal := search.Refusal()
	n.countRefusal(refusal)
	return quota.Permit{}, &refusal
}

// Preview returns the owner that Take would ask first, or the refusal that it would return without
// asking any. It sends no message and counts nothing.
func (n *Node) Preview(o organisation.Organisation) (quota.Ask, *quota.Refusal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	search := n.client.Search(o.Name, n.directory.Parts(o.Name))
	ask, found := search.Peek(n.config.Now())
	if found {
		return ask, nil
	}
	refusal := search.Refusal()
	return quota.Ask{}, &refusal
}

func (n *Node) countRefusal(r quota.Refusal) {
	if r.Unavailable {
		n.config.Metrics.Add("permits.refused.quota-unavailable", 1)
		return
	}
	n.config.Metrics.Add("permits.refused.rate-limit", 1)
	n.config.ObserveAge(r.Age)
}

// ask asks an owner for a permit; received is false if ctx ends first.
func (n *Node) ask(ctx context.Context, ask quota.Ask) (reply quota.Reply, received bool) {
	if ask.Node.ID == n.config.Self.ID {
		return n.grant(ask.Organisation, ask.Handover(n.config.Now()), 1), true
	}
	return n.askInBatch(ctx, ask)
}

// grant decides as the owner.
func (n *Node) grant(name string, handover time.Duration, count int) quota.Reply {
	limit, known := n.config.Limit(name)
	reply := quota.Reply{Result: quota.Unknown}
	if known {
		n.mu.Lock()
		n.directory.Alive(n.config.Now())
		reply = n.owner.Take(n.config.Now(), name, limit, n.directory.Standing(name), handover, count)
		n.mu.Unlock()
	}
	n.config.Metrics.Add("permits.owner."+string(reply.Result), int64(max(1, reply.Count)))
	return reply
}

// putBack takes a permit back as the owner.
func (n *Node) putBack(name string, r quota.Receipt) bool {
	n.mu.Lock()
	n.directory.Alive(n.config.Now())
	counts := n.owner.Return(n.config.Now(), name, r)
	n.mu.Unlock()
	if counts {
		n.config.Metrics.Add("permits.owner.returned", 1)
	}
	return counts
}

// Return gives back a permit whose request certainly did not run. It is not repeated if the message is
// lost: a lost permit delays other requests, but one that was returned twice would exceed the limit.
func (n *Node) Return(p quota.Permit) {
	if p.Receipt.Incarnation == "" {
		return
	}
	if p.Node.ID == n.config.Self.ID {
		n.countReturn(n.putBack(p.Organisation, p.Receipt))
		return
	}
	go func() { n.countReturn(n.sendReturn(p)) }()
}

func (n *Node) countReturn(counts bool) {
	if counts {
		n.config.Metrics.Add("permits.returned", 1)
		return
	}
	n.config.Metrics.Add("permits.lost", 1)
}
