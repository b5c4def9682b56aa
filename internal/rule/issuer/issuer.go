package issuer

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Issuer grants allowances. All times are of a clock that counts
	// suspensions. It is not safe for concurrent use.
	Issuer struct {
		settings Settings
		began    time.Time
		accounts map[string]*account
		// daemons are sorted by host, so that sums of their shares are the same each
		// time.
		daemons []*daemon
		// unknown is the sum of the shares that former holders gave and this one
		// hasn't heard of.
		unknown  float64
		filledAt time.Time
		// former are the largest shares that daemons may hold which haven't been
		// heard, nil if that is unknown.
		former map[string]float64
		// delegates are the daemons that share the allowances, nil if all do.
		delegates []string
		// recorded are the shares in the holder's record in the log, from which
		// the next holder knows former.
		recorded map[string]float64
	}

	account struct {
		fleet.Allowance
		bounds Bounds
		level  float64
	}

	// daemon is what is known of one daemon.
	daemon struct {
		host string
		// share is the largest that it may hold, next the one of the last
		// answer, which it has not confirmed.
		share, next float64
		// answered is the last question, and answeredAt when it was answered.
		answered   uint64
		answeredAt time.Time
		// askedAfter is a time after which the daemon has sent its last known
		// question; zero until it has confirmed an answer.
		askedAfter time.Time
	}
)

const (
	// reserveFloor is the part of a bucket that is kept for requests that wait.
	reserveFloor = 0.5
	// minWait is the shortest time for which a daemon denies requests of an account
	// without asking again, so that one that demands far beyond its allowance doesn't
	// keep the holder busy.
	minWait = 100 * time.Millisecond
	// shareUnits is the number of parts to which recorded shares are rounded up.
	shareUnits = 1e4
)

// New returns an Issuer whose tenure begins at now. former are the shares in the newest
// record of the former holder, nil if they are unknown.
func New(now time.Time, settings Settings, former map[string]float64) *Issuer {
	i := &Issuer{settings: settings, began: now, filledAt: now, accounts: map[string]*account{}, unknown: 1, recorded: map[string]float64{}}
	if former != nil {
		i.former = maps.Clone(former)
		i.unknown = min(sum(former), 1)
	}
	return i
}

// Shares returns the largest share that each daemon may hold until the next record, for
// the holder's record; nil if that is unknown. No daemon gets more than is recorded.
func (i *Issuer) Shares(now time.Time) map[string]float64 {
	i.fill(now)
	if i.unknown > 0 && i.former == nil {
		return nil
	}
	shares := map[string]float64{}
	if i.unknown > 0 {
		maps.Copy(shares, i.former)
	}
	for _, d := range i.daemons {
		if share := max(d.share, i.target(d.host)); share > 0 {
			shares[d.host] = math.Ceil(share*shareUnits) / shareUnits
		}
	}
	return shares
}

// SetDelegates has the daemons with these hosts share the allowances evenly from now on, and
// the others hold none. Without delegates, all daemons share them.
func (i *Issuer) SetDelegates(hosts []string) { i.delegates = slices.Clone(hosts) }

// target returns the share that a daemon is to get once those of others allow it.
func (i *Issuer) target(host string) float64 {
	switch {
	case len(i.delegates) == 0:
		return 1 / float64(len(i.daemons))
	case slices.Contains(i.delegates, host):
		return 1 / float64(len(i.delegates))
	}
	return 0
}

// Recording states that a record with these shares is being written, so that it or the
// one before it is the newest.
func (i *Issuer) Recording(shares map[string]float64) {
	for name, share := range i.recorded {
		i.recorded[name] = min(share, shares[name])
	}
}

// Recorded states that the newest record has these shares.
func (i *Issuer) Recorded(shares map[string]float64) { i.recorded = maps.Clone(shares) }

func sum(shares map[string]float64) (total float64) {
	for _, host := range slices.Sorted(maps.Keys(shares)) {
		total += shares[host]
	}
	return total
}

// SetAccounts replaces the accounts. What is saved for an account stays within its new
// bounds.
func (i *Issuer) SetAccounts(now time.Time, accounts []fleet.Account) {
	i.fill(now)
	kept := make(map[string]*account, len(accounts))
	for _, a := range accounts {
		if !a.Allowance.Limited() {
			continue
		}
		k := &account{Allowance: a.Allowance, bounds: i.settings.Bounds(a.Allowance)}
		if old := i.accounts[a.Name]; old != nil && old.Tokens == a.Allowance.Tokens {
			k.level = min(old.level, k.bounds.Bucket)
		}
		kept[a.Name] = k
	}
	i.accounts = kept
}

// Answer returns the answer to a daemon's question.
func (i *Issuer) Answer(now time.Time, host string, ask *fleet.AllowanceAsk) *fleet.AllowanceReply {
	// Before the daemon's state changes, because the time until now counts by it.
	i.fill(now)
	at, heard := slices.BinarySearchFunc(i.daemons, host, func(d *daemon, host string) int { return strings.Compare(d.host, host) })
	if !heard {
		// The question may be older than the share that the former holder gave.
		i.daemons = slices.Insert(i.daemons, at, &daemon{host: host, share: i.former[host]})
		delete(i.former, host)
		if i.unknown = max(i.unknown-ask.Share, 0); i.former != nil {
			i.unknown = min(sum(i.former), 1)
		}
	}
	d := i.daemons[at]
	// A question that was sent before the last one and comes after it confirms
	// nothing; what it shows of the share may be old.
	if confirms := d.answered != 0 && ask.Answered == d.answered; confirms {
		d.share = d.next
		d.askedAfter = d.answeredAt.Add(ask.Since)
	}
	d.share = max(d.share, ask.Share)
	d.next = max(min(i.target(host), 1-i.held(now, host), i.recorded[host]), 0)
	d.share = max(d.share, d.next)
	d.answered, d.answeredAt = ask.ID, now
	r := &fleet.AllowanceReply{ID: ask.ID, Share: d.next}
	for _, name := range slices.Sorted(maps.Keys(ask.Wants)) {
		if a := i.accounts[name]; a != nil {
			if r.Grants == nil {
				r.Grants = map[string]fleet.Grant{}
			}
			r.Grants[name] = a.grant(ask.Wants[name])
		}
	}
	return r
}

// grant takes what is wanted from the bucket as far as it is there.
func (a *account) grant(w fleet.Want) (g fleet.Grant) {
	switch {
	case w.Need <= a.level:
		g.Need = w.Need
	case w.Least > 0 && w.Least <= a.level:
		g.Need = a.level
	}
	a.level -= g.Need
	if missing := w.Need - g.Need; missing > 0 {
		least := min(max(w.Least, 0), a.bounds.Bucket)
		g.Wait = max(time.Duration(max(least-a.level, 0)/a.PerSecond*float64(time.Second)), minWait)
		return g
	}
	g.Reserve = max(min(w.Reserve, a.level-reserveFloor*a.bounds.Bucket), 0)
	a.level -= g.Reserve
	return g
}

// held returns the sum of the shares that others than host may hold.
func (i *Issuer) held(now time.Time, host string) float64 {
	sum := i.unheardShares(now)
	for _, d := range i.daemons {
		if d.host != host {
			sum += d.share
		}
	}
	return sum
}

// unheardShares returns the sum of the shares of daemons that this holder hasn't heard.
func (i *Issuer) unheardShares(now time.Time) float64 {
	if now.Sub(i.began) > ShareTTL {
		i.unknown = 0
	}
	return i.unknown
}

// fill fills the buckets until now, except for the shares of daemons that may have
// added to their reserves by themselves at any time since the last call.
func (i *Issuer) fill(now time.Time) {
	since := now.Sub(i.filledAt).Seconds()
	if since <= 0 {
		return
	}
	away := i.unknown
	for _, d := range i.daemons {
		if now.Sub(d.askedAfter) > FillDelay {
			away += d.share
		}
	}
	i.daemons = slices.DeleteFunc(i.daemons, func(d *daemon) bool { return now.Sub(d.answeredAt) > ShareTTL })
	i.unheardShares(now)
	i.filledAt = now
	part := math.Max(1-away, 0)
	for _, a := range i.accounts {
		a.level = min(a.level+part*a.PerSecond*since, a.bounds.Bucket)
	}
}
