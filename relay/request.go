package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/boottime"
	"github.com/jackdawlane/jackdawlane/hop"
)

// maxReplyBytes bounds the encoded updates of one reply.
const maxReplyBytes = 8 << 20

// errReply means that a node did not reply to a request for updates as it should.
var errReply = errors.New("no usable reply to a request for updates")

// reply is the reply to a request for updates.
type reply struct {
	version, revision uint64
	// age is the age of the sender's knowledge when the request was sent or later, confirmedAt the time, by
	// boottime.Now, at which its version was the newest one.
	age         time.Duration
	confirmedAt time.Duration
	updates     []byte
}

// request sends a request for updates and reads the reply.
func (c *Client) request(ctx context.Context, a Action) (reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(a.Timeout, cancel)
	defer timeout.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Source.Address+"/", http.NoBody)
	if err != nil {
		return reply{}, err
	}
	version := c.config.Replica.State().Version()
	if c.needsAll {
		version = 0
	}
	req.Header = http.Header{
		hop.HeaderConfigPoll:    {hop.FormatMS(a.Wait)},
		hop.HeaderConfigVersion: {strconv.FormatUint(version, 10)},
		hop.HeaderConfigAge:     {hop.FormatMS(c.config.Progress.Age())},
		// Without a value the transport would add a header that nodes do not read.
		"User-Agent": nil,
	}
	c.config.Metrics.Add("relay.requests", 1)
	sentAt := boottime.Now()
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	// The node replies; updates may take longer to arrive than a reply without any.
	timeout.Reset(c.config.MaxAge)
	return readReply(res, sentAt)
}

func readReply(res *http.Response, sentAt time.Duration) (reply, error) {
	if res.StatusCode != http.StatusOK {
		return reply{}, errors.Wrapf(errReply, "status %d", res.StatusCode)
	}
	version, versionErr := strconv.ParseUint(res.Header.Get(hop.HeaderConfigVersion), 10, 64)
	revision, revisionErr := strconv.ParseUint(res.Header.Get(hop.HeaderConfigRevision), 10, 64)
	age, ageOK := hop.ParseMS(res.Header.Get(hop.HeaderConfigAge))
	held, heldOK := hop.ParseMS(res.Header.Get(hop.HeaderConfigHeld))
	if versionErr != nil || revisionErr != nil || !ageOK || !heldOK {
		return reply{}, errors.Wrap(errReply, "headers are missing")
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	// The sender formed the reply at the earliest the time that it held the request after the start.
	return reply{version: version, revision: revision, age: age, confirmedAt: sentAt + held - age, updates: data}, err
}
