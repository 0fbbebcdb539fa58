package permit

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/quota"
)

// send asks an owner for a number of permits. The permits are lost if no reply arrives in time, because
// the owner may have granted them.
func (n *Node) send(ask quota.Ask, count int) quota.Reply {
	h := http.Header{
		hop.HeaderPermit:       {hop.PermitTake},
		hop.HeaderOrganisation: {ask.Organisation},
		hop.HeaderPermitOwner:  {string(ask.Role)},
	}
	if count > 1 {
		h.Set(hop.HeaderPermitCount, strconv.Itoa(count))
	}
	if ms := ask.Handover(n.config.Now()).Milliseconds(); ms > 0 {
		h.Set(hop.HeaderPermitHandoverMS, strconv.FormatInt(ms, 10))
	}
	n.config.Metrics.Add("permits.messages", 1)
	res, ok := n.exchange(ask.Node, h)
	if !ok {
		n.config.Metrics.Add("permits.lost", int64(count))
		return quota.Reply{Result: quota.NoReply}
	}
	return parseReply(res, count)
}

// sendReturn sends back a permit and reports whether the owner took it.
func (n *Node) sendReturn(p quota.Permit) bool {
	n.config.Metrics.Add("permits.messages", 1)
	res, ok := n.exchange(p.Node, http.Header{
		hop.HeaderPermit:        {hop.PermitReturn},
		hop.HeaderOrganisation:  {p.Organisation},
		hop.HeaderPermitReceipt: {p.Receipt.String()},
	})
	return ok && quota.Result(res.Get(hop.HeaderPermit)) == quota.Granted
}

// exchange sends a message and returns the headers of the reply; false means that there was none in
// time. http.Transport sends a POST request again only if none of it was written before.
func (n *Node) exchange(to quota.Node, h http.Header) (http.Header, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), quota.ReplyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+"/", http.NoBody)
	if err != nil {
		return nil, false
	}
	// Without a value the transport would add a header that owners do not read.
	h["User-Agent"] = nil
	req.Header = h
	res, err := n.transport.RoundTrip(req)
	if err != nil {
		return nil, false
	}
	defer res.Body.Close()
	io.Copy(io.Discard, io.LimitReader(res.Body, maxReplyBody))
	return res.Header, res.StatusCode == http.StatusOK
}

// maxReplyBody bounds what is read of the body of a reply, which is empty. Reading it to the end lets the
// connection be used again.
const maxReplyBody = 1 << 10

// parseReply parses a reply to a request for a number of permits. A malformed reply grants nothing.
func parseReply(h http.Header, requested int) quota.Reply {
	reply := quota.Reply{Result: quota.Result(h.Get(hop.HeaderPermit))}
	reply.Again, _ = hop.ParseMS(h.Get(hop.HeaderAgainMS))
	reply.Handover, _ = hop.ParseMS(h.Get(hop.HeaderPermitHandoverMS))
	switch reply.Result {
	case quota.Empty, quota.NotOwner, quota.Unknown:
		return reply
	case quota.Granted:
	default:
		return quota.Reply{Result: quota.NoReply}
	}
	reply.Count = 1
	if text := h.Get(hop.HeaderPermitCount); text != "" {
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 || count > requested {
			return quota.Reply{Result: quota.NoReply}
		}
		reply.Count = count
	}
	reply.Receipt, _ = quota.ParseReceipt(h.Get(hop.HeaderPermitReceipt))
	return reply
}

// Handler returns a handler that replies to requests about permits and passes all others to next.
func (n *Node) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, found := r.Header[hop.HeaderPermit]; !found {
			next.ServeHTTP(w, r)
			return
		}
		n.serve(w, r)
	})
}

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	name, h := r.Header.Get(hop.HeaderOrganisation), w.Header()
	h["Date"] = nil
	switch r.Header.Get(hop.HeaderPermit) {
	case hop.PermitTake:
		count, ok := requestedCount(r.Header)
		if !ok {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		handover, _ := hop.ParseMS(r.Header.Get(hop.HeaderPermitHandoverMS))
		writeReply(h, n.grant(name, handover, count))
	case hop.PermitReturn:
		receipt, ok := quota.ParseReceipt(r.Header.Get(hop.HeaderPermitReceipt))
		if !ok {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		result := quota.NotOwner
		if n.putBack(name, receipt) {
			result = quota.Granted
		}
		h.Set(hop.HeaderPermit, string(result))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func requestedCount(h http.Header) (int, bool) {
	text := h.Get(hop.HeaderPermitCount)
	if text == "" {
		return 1, true
	}
	count, err := strconv.Atoi(text)
	return count, err == nil && count >= 1 && count <= maxCount
}

func writeReply(h http.Header, reply quota.Reply) {
	h.Set(hop.HeaderPermit, string(reply.Result))
	if reply.Count > 1 {
		h.Set(hop.HeaderPermitCount, strconv.Itoa(reply.Count))
	}
	if reply.Again > 0 {
		// Rounded up, so that no one returns before the permit is due.
		h.Set(hop.HeaderAgainMS, strconv.FormatInt(int64((reply.Again+time.Millisecond-1)/time.Millisecond), 10))
	}
	if ms := reply.Handover.Milliseconds(); ms > 0 {
		h.Set(hop.HeaderPermitHandoverMS, strconv.FormatInt(ms, 10))
	}
	if reply.Receipt.Incarnation != "" {
		h.Set(hop.HeaderPermitReceipt, reply.Receipt.String())
	}
}
