package permit

import (
	"context"
	"slices"

	"github.com/jackdawlane/jackdawlane/quota"
)

const (
	// maxMessages is the number of messages about one organisation that are under way to one owner at
	// a time. Further requests for permits wait for one of them and share the next one.
	maxMessages = 2
	// maxCount bounds the permits that one message asks for.
	maxCount = 100
)

// batchKey identifies the requests for permits that may share a message.
type batchKey struct {
	organisation, node string
	role               quota.Role
	// handover is set if the requests know of a hand-over: the others must get no permits of the previous
	// primary, because they would use these after the hand-over too.
	handover bool
}

// batch is the state of the messages with one key.
type batch struct {
	messages int
	waiting  []*waiter
}

// waiter is a request that waits for a reply.
type waiter struct {
	reply chan quota.Reply
	// gone is set when the request no longer waits. Node.mu guards it.
	gone bool
}

// askInBatch asks another node for a permit. The message is shared with other requests, so it goes on
// when ctx ends; its permit is then returned.
func (n *Node) askInBatch(ctx context.Context, ask quota.Ask) (reply quota.Reply, received bool) {
	key := batchKey{ask.Organisation, ask.Node.ID, ask.Role, ask.HandoverEnd > 0}
	w := &waiter{reply: make(chan quota.Reply, 1)}
	n.mu.Lock()
	b := n.batches[key]
	if b == nil {
		b = &batch{}
		n.batches[key] = b
	}
	b.waiting = append(b.waiting, w)
	if b.messages < maxMessages {
		b.messages++
		go n.sendBatches(key, b, ask)
	}
	n.mu.Unlock()
	select {
	case reply = <-w.reply:
		return reply, true
	case <-ctx.Done():
	}
	n.mu.Lock()
	w.gone = true
	n.mu.Unlock()
	select {
	case reply = <-w.reply:
		// It came in the meantime.
		return reply, true
	default:
		return quota.Reply{}, false
	}
}

// sendBatches sends messages, one after the other, while requests wait.
func (n *Node) sendBatches(key batchKey, b *batch, ask quota.Ask) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool { return w.gone })
		count := min(len(b.waiting), maxCount)
		if count == 0 {
			break
		}
		asking := b.waiting[:count:count]
		b.waiting = b.waiting[count:]
		n.mu.Unlock()
		reply := n.send(ask, count)
		n.mu.Lock()
		if reply.Count < count {
			// What is refused to these is refused to those that began to wait meanwhile too.
			asking = append(asking, b.waiting...)
			b.waiting = nil
		}
		n.distribute(ask, reply, asking)
	}
	b.messages--
	if b.messages == 0 {
		delete(n.batches, key)
	}
}

// distribute gives each request its part of a reply. The caller holds n.mu.
func (n *Node) distribute(ask quota.Ask, reply quota.Reply, asking []*waiter) {
	granted := min(reply.Count, len(asking))
	for i, w := range asking {
		own := quota.Reply{Result: quota.Granted, Count: 1, Receipt: reply.Receipt}
		own.Receipt.Serial += uint64(i)
		if i >= granted {
			own = quota.Reply{Result: reply.Result, Again: reply.Again, Handover: reply.Handover}
			if own.Result == quota.Granted {
				own.Result = quota.Empty
			}
		}
		if w.gone && i < granted {
			go n.Return(quota.Permit{Ask: ask, Receipt: own.Receipt})
			continue
		}
		w.reply <- own
	}
}
