package admission

import "time"

const (
	// priorityShare and organisationShare are the shares of the rate at which all requests are
	// served that each priority and each organisation is guaranteed for its own offers. The
	// requirement is a quarter for requests; an entry does not offer every request to every
	// guard, and a guarantee lapses if its request ends while it is queued. That of
	// organisations is lower because a refused organisation offers its requests more often: with
	// 0.33, one that sent ten times its share took too much from the others in bench/overload.
	priorityShare     = 0.4
	organisationShare = 0.27
	// creditCap and creditFloor bound the credit of an account, in units of the cost of its last
	// request. The cap bounds the burst that goes before more urgent work. The floor is negative, so
	// that a few refusals in a row do not raise a request of a priority or an organisation that is
	// served often enough.
	creditCap   = 3.0
	creditFloor = -2.0
	// servedTime is the time constant over which the share of served requests is measured.
	servedTime = 10 * time.Second
	// maxAccounts bounds the accounts of each kind.
	maxAccounts = 512
	// accountTime is how long an unused account is kept.
	accountTime = time.Minute
)

// accountKey identifies the account of a priority or an organisation for a class of requests. Short and
// long requests have an account each: short ones would use up the credit long before it is enough for
// a long one.
type accountKey[K comparable] struct {
	of    K
	class class
}

// account holds what the requests of one accountKey may still be served beyond their turn, in seconds
// of service time.
type account struct {
	credit   float64
	lastUsed time.Duration
}

// guarantee keeps the share of lower priorities and of large organisations. Each request that is
// offered adds to the accounts of its priority and its organisation, and each one that is served
// takes its cost from them. A rare kind of request thus gets the same share as a frequent one.
type guarantee struct {
	// offered and served count all requests.
	offered, served decayed
	priorities      map[accountKey[Priority]]*account
	organisations   map[accountKey[string]]*account
}

func newGuarantee() guarantee {
	return guarantee{priorities: make(map[accountKey[Priority]]*account), organisations: make(map[accountKey[string]]*account)}
}

// getAccount returns the account of key. It first removes the accounts that have been unused for
// accountTime, or the one unused longest, if there are maxAccounts.
func getAccount[K comparable](accounts map[K]*account, now time.Duration, key K) *account {
	a := accounts[key]
	if a == nil {
		if len(accounts) >= maxAccounts {
			removeOldest(accounts, now)
		}
		a = &account{}
		accounts[key] = a
	}
	a.lastUsed = now
	return a
}

func removeOldest[K comparable](accounts map[K]*account, now time.Duration) {
	var oldest K
	least := now + 1
	for key, a := range accounts {
		if now-a.lastUsed > accountTime {
			delete(accounts, key)
		} else if a.lastUsed < least {
			oldest, least = key, a.lastUsed
		}
	}
	if len(accounts) >= maxAccounts {
		delete(accounts, oldest)
	}
}

// offer records an offered request. An organisation that uses less than its equal share takes
// nothing from others of its priority, so it is guaranteed as much as a priority.
func (g *guarantee) offer(now time.Duration, it *item, belowEqualShare bool) {
	g.offered.add(now, servedTime, 1)
	if it.Call {
		return
	}
	ratio := min(1, g.served.value(now, servedTime)/g.offered.value(now, servedTime))
	accounts := g.accounts(now, it)
	for i, share := range [...]float64{priorityShare, organisationShare} {
		if belowEqualShare {
			share = priorityShare
		}
		accounts[i].credit = min(accounts[i].credit+share*ratio*it.cost, creditCap*it.cost)
	}
}

// start records that a request was dispatched. The credit of a guaranteed one was reserved when
// it was queued.
func (g *guarantee) start(now time.Duration, it *item) {
	g.served.add(now, servedTime, 1)
	if !it.Call && !it.guaranteed {
		g.reserve(now, it)
	}
}

// reserve takes the cost of a request from its accounts.
func (g *guarantee) reserve(now time.Duration, it *item) {
	for _, a := range g.accounts(now, it) {
		a.credit = max(a.credit-it.cost, creditFloor*it.cost)
	}
}

// refund returns the cost of a guaranteed request that was not dispatched.
func (g *guarantee) refund(now time.Duration, it *item) {
	for _, a := range g.accounts(now, it) {
		a.credit = min(a.credit+it.cost, creditCap*it.cost)
	}
}

func (g *guarantee) accounts(now time.Duration, it *item) [2]*account {
	return [2]*account{
		getAccount(g.priorities, now, accountKey[Priority]{it.Priority, it.class}),
		getAccount(g.organisations, now, accountKey[string]{it.Organisation, it.class}),
	}
}

// owed reports whether a client's request is served beyond its turn, because its priority or its
// organisation is served too seldom. Without others to be compared with, nothing is owed, so
// that equal requests keep their order.
func (g *guarantee) owed(now time.Duration, it *item) bool {
	if it.Call || it.guaranteed {
		return false
	}
	return owedTo(g.priorities, now, accountKey[Priority]{it.Priority, it.class}, it.cost) ||
		owedTo(g.organisations, now, accountKey[string]{it.Organisation, it.class}, it.cost)
}

func owedTo[K comparable](accounts map[accountKey[K]]*account, now time.Duration, key accountKey[K], cost float64) bool {
	if a := accounts[key]; a == nil || a.credit < cost {
		return false
	}
	for k, a := range accounts {
		if k.of != key.of && now-a.lastUsed < servedTime {
			return true
		}
	}
	return false
}
