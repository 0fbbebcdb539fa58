package quota

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackdawlane/jackdawlane/organisation"
)

// Result is the result of a request for permits.
type Result string

// Results. The first four are sent as the reply; NoReply means that none arrived in time.
const (
	Granted  Result = "granted"
	Empty    Result = "empty"
	NotOwner Result = "not-owner"
	Unknown  Result = "unknown"
	NoReply  Result = ""
)

// Reply is the reply of an owner.
type Reply struct {
	Result Result
	// Count is the number of permits granted, which may be below the number requested.
	Count int
	// Again is the time until the next permit is due, if fewer were granted than requested. 0 means that
	// it is not known.
	Again time.Duration
	// Handover is the time until a primary that has arrived begins to grant permits; 0 if it does not wait
	// for that.
	Handover time.Duration
	// Receipt is that of the first permit. The serials of the others follow it.
	Receipt Receipt
}

// Receipt identifies a grant to the owner that made it, for its return.
type Receipt struct {
	// Incarnation is that of the owner's process.
	Incarnation string
	Serial      uint64
	// At is the time of the grant by the owner's clock.
	At time.Duration
}

// receiptBase is the base of the numbers in the text form of a receipt.
const receiptBase = 36

// String returns the text form.
func (r Receipt) String() string {
	return r.Incarnation + "." + strconv.FormatUint(r.Serial, receiptBase) + "." + strconv.FormatInt(int64(r.At), receiptBase)
}

// ParseReceipt parses the text form; false means that it is malformed.
func ParseReceipt(text string) (Receipt, bool) {
	incarnation, numbers, _ := strings.Cut(text, ".")
	serialText, atText, _ := strings.Cut(numbers, ".")
	serial, err := strconv.ParseUint(serialText, receiptBase, 64)
	if err != nil || incarnation == "" {
		return Receipt{}, false
	}
	at, err := strconv.ParseInt(atText, receiptBase, 64)
	return Receipt{Incarnation: incarnation, Serial: serial, At: time.Duration(at)}, err == nil
}

const (
	// minAccounts is the number of accounts below which none is removed.
	minAccounts = 1024
	// maxReturns bounds the returns that are remembered for an organisation, so that a repeated one is
	// told. Further ones do not count.
	maxReturns = 1024
)

// Owner holds the token buckets of the parts of limits that a node owns. It is designed for some hundred
// organisations that are active at a time, with up to some thousand requests per second in total.
type Owner struct {
	terms       Terms
	incarnation string
	serial      uint64
	accounts    map[string]*account
	// sweepAt is the number of accounts at which full ones are removed.
	sweepAt int
}

// account is the state of a part of one organisation's limit.
type account struct {
	standing Standing
	bucket   *Bucket
	// previous is the bucket that the node had as the primary before it became the standby; nil if it was
	// not the primary.
	previous *Bucket
	// returned holds the times at which grants were returned, by serial.
	returned map[uint64]time.Duration
}

// NewOwner returns an owner without accounts. The incarnation differs from those of all other processes.
func NewOwner(terms Terms, incarnation string) *Owner {
	return &Owner{terms: terms, incarnation: incarnation, accounts: make(map[string]*account), sweepAt: minAccounts}
}

// Take grants up to n permits for the organisation, whose limit is the one in force at this node. The
// standing is that of this node by its own directory, whatever role the entry asked it for. The time handover
// is how long the present primary still waits for the end of its hand-over; 0 if it does not, or is not known
// to.
func (o *Owner) Take(now time.Duration, name string, limit organisation.Limit, standing Standing, handover time.Duration, n int) Reply {
	if standing.Role == "" {
		delete(o.accounts, name)
		return Reply{Result: NotOwner}
	}
	if limit.Unlimited() {
		delete(o.accounts, name)
		return Reply{Result: Granted, Count: n}
	}
	a := o.account(now, name, limit, standing)
	bucket := a.bucket
	switch {
	case a.previous == nil || now >= standing.Since:
	case handover == 0:
		// The entry does not know of the present primary yet, and asks again soon.
		return Reply{Result: Empty, Again: notOwnerPause}
	default:
		// The present primary grants nothing yet. Without this the part would have no owner meanwhile.
		bucket = a.previous
		bucket.SetLimit(now, o.terms.Share(limit, Primary))
	}
	granted, again := bucket.Take(now, n)
	reply := Reply{Result: Granted, Count: granted, Again: again}
	switch {
	case granted > 0:
		reply.Receipt = Receipt{Incarnation: o.incarnation, Serial: o.serial, At: now}
		o.serial += uint64(granted)
	case standing.Role == Primary && now < standing.Since:
		// The entry asks the standby during the hand-over.
		reply.Result = NotOwner
		if standing.Arrived {
			reply.Handover = standing.Since - now
		}
	default:
		reply.Result = Empty
	}
	return reply
}

// account returns the account of the organisation. One in another role, or in the same role with an
// interruption, starts without tokens.
func (o *Owner) account(now time.Duration, name string, limit organisation.Limit, standing Standing) *account {
	share := o.terms.Share(limit, standing.Role)
	a := o.accounts[name]
	if a != nil && a.standing == standing {
		a.bucket.SetLimit(now, share)
		return a
	}
	previous := a
	a = &account{standing: standing, bucket: NewBucket(now, standing.Since, share)}
	if previous != nil && previous.standing.Role == Primary && previous.standing.Since == standing.PrimarySince {
		a.previous = previous.bucket
	}
	o.accounts[name] = a
	if len(o.accounts) >= o.sweepAt {
		o.sweep(now, name)
	}
	return a
}

// sweep removes the accounts with full buckets, except one. An account that is created anew is full too,
// because its tokens accrue from the same time.
func (o *Owner) sweep(now time.Duration, except string) {
	for name, a := range o.accounts {
		if name != except && a.bucket.full(now) {
			delete(o.accounts, name)
		}
	}
	o.sweepAt = max(minAccounts, 2*len(o.accounts))
}

// Return puts back a permit whose request certainly did not run, and reports whether it counts. A
// repeated return, one after a restart or a change of the role, one of a permit that was granted in a
// hand-over, one after the window and one with a time of grant in the future do not. A return is remembered
// for one window, so a time in the future would let it count again after that.
func (o *Owner) Return(now time.Duration, name string, r Receipt) bool {
	a := o.accounts[name]
	if a == nil || r.Incarnation != o.incarnation || r.Serial >= o.serial || r.At < a.standing.Since || r.At > now || now-r.At > o.terms.Window {
		return false
	}
	for serial, at := range a.returned {
		if now-at > o.terms.Window {
			delete(a.returned, serial)
		}
	}
	if _, repeated := a.returned[r.Serial]; repeated || len(a.returned) >= maxReturns {
		return false
	}
	if !a.bucket.Return(now, r.At) {
		return false
	}
	if a.returned == nil {
		a.returned = make(map[uint64]time.Duration)
	}
	a.returned[r.Serial] = now
	return true
}
