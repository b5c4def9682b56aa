package meter

import (
	"maps"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/issuer"
)

type (
	// Meter holds what a daemon may use of each account's allowance. All times
	// are of a clock that counts suspensions. It is not safe for concurrent use.
	Meter struct {
		settings issuer.Settings
		accounts map[string]*account
		// asked is the ID of the last question and askedAt its time. answered is
		// the ID of the last one that was answered, answeredAt when the answer
		// came, and shareUntil the end of the share that it gave.
		asked, answered                 uint64
		askedAt, answeredAt, shareUntil time.Time
		share                           float64
		filledAt                        time.Time
	}

	account struct {
		fleet.Allowance
		bounds  issuer.Bounds
		reserve float64
		// returnable is what requests took of the reserve that may still return it.
		// Together with the reserve it stays within the bound.
		returnable float64
		// lots are what the holder has granted, by the end of their time.
		lots []lot
		// deniedUntil is the time before which the holder can't grant more.
		deniedUntil time.Time
		// nextReturn is the time at which the next caller that is denied may come
		// back.
		nextReturn time.Time
	}

	// Return is what the time at which a denied caller may come back depends on.
	Return struct {
		// Size is that of its request.
		Size float64
		// Daemons is the number that deny callers of the account.
		Daemons int
		// Least is the shortest time, and Most the longest that the caller honours.
		Least, Most time.Duration
	}

	// Charge is what a request took, until it is sent or refused.
	Charge struct {
		account string
		tokens  bool
		reserve float64
		lots    []lot
	}

	lot struct {
		amount float64
		until  time.Time
	}

	// Verdict is whether a request may be served now.
	Verdict uint8

	// Waiting is what requests that wait for an allowance count for: all
	// together, and the smallest one.
	Waiting struct{ Sum, Least float64 }
)

// maxReturnStep bounds the time between the returns of two callers.
const maxReturnStep = time.Minute

// Verdicts on a request.
const (
	// Taken: the request has been counted.
	Taken Verdict = iota
	// Ask: the holder must be asked.
	Ask
	// Denied: the account has used its allowance.
	Denied
	// TooLarge: no grant can ever cover the request.
	TooLarge
)

// New returns a Meter that has nothing. Its questions are numbered from an id on that
// no earlier process on this host has used.
func New(settings issuer.Settings, id uint64) *Meter {
	return &Meter{settings: settings, accounts: map[string]*account{}, asked: id}
}

// SetAccounts replaces the accounts. What was saved beyond the new bounds is void.
func (m *Meter) SetAccounts(now time.Time, accounts []fleet.Account) {
	m.advance(now)
	kept := make(map[string]*account, len(accounts))
	for _, a := range accounts {
		if !a.Allowance.Limited() {
			continue
		}
		k := &account{Allowance: a.Allowance, bounds: m.settings.Bounds(a.Allowance)}
		if old := m.accounts[a.Name]; old != nil && old.Tokens == a.Allowance.Tokens {
			k.reserve, k.returnable, k.lots = old.reserve, old.returnable, old.lots
			if a.Allowance == old.Allowance {
				k.deniedUntil, k.nextReturn = old.deniedUntil, old.nextReturn
			}
		}
		kept[a.Name] = k
	}
	m.accounts = kept
	m.setShare(m.share)
}

// setShare sets the share, which bounds the reserves.
func (m *Meter) setShare(share float64) {
	m.share = share
	for _, a := range m.accounts {
		// What may return is voided for good, so that it isn't used beside what another
		// daemon uses of the share.
		a.returnable = min(a.returnable, m.share*a.bounds.Reserve)
		a.reserve = min(a.reserve, m.share*a.bounds.Reserve-a.returnable)
	}
}

// advance fills the reserves until now while there is a share and no holder, and voids
// them at the end of the share.
func (m *Meter) advance(now time.Time) {
	from, to := m.askedAt.Add(issuer.FillDelay), now
	if m.filledAt.After(from) {
		from = m.filledAt
	}
	if m.shareUntil.Before(to) {
		to = m.shareUntil
	}
	m.filledAt = now
	if d := to.Sub(from).Seconds(); d > 0 && m.share > 0 {
		for _, a := range m.accounts {
			a.reserve += d * m.share * a.PerSecond
		}
		m.setShare(m.share)
	}
	if !now.Before(m.shareUntil) {
		m.setShare(0)
	}
}

// Take is Charge for a request that is sent at once.
func (m *Meter) Take(now time.Time, name string, size float64) Verdict {
	c, verdict := m.Charge(now, name, size)
	m.Sent(c)
	return verdict
}

// Charge counts a request of a size against an account's allowance if that has room. The
// charge is nil unless it was counted.
func (m *Meter) Charge(now time.Time, name string, size float64) (*Charge, Verdict) {
	a := m.accounts[name]
	if a == nil {
		return nil, Taken
	}
	m.advance(now)
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool { return !now.Before(l.until) || l.amount <= 0 })
	room := a.reserve
	for _, l := range a.lots {
		room += l.amount
	}
	switch {
	case size <= room:
	case size > a.bounds.Bucket:
		return nil, TooLarge
	case now.Before(a.deniedUntil):
		return nil, Denied
	default:
		return nil, Ask
	}
	c := &Charge{account: name, tokens: a.Tokens}
	for i := range a.lots {
		if part := min(size, a.lots[i].amount); part > 0 {
			a.lots[i].amount -= part
			size -= part
			c.lots = append(c.lots, lot{part, a.lots[i].until})
		}
	}
	c.reserve = min(size, a.reserve)
	a.reserve -= c.reserve
	a.returnable += c.reserve
	return c, Taken
}

// Sent states that the request has been sent, so that it can't return what it took. c may
// be nil.
func (m *Meter) Sent(c *Charge) {
	if a, _ := m.settle(c); a != nil {
		c.lots = nil
	}
}

// Return returns what a request took that was never sent: grants until the end of their
// time, and what is from the reserve if the share still covers it. c may be nil.
func (m *Meter) Return(now time.Time, c *Charge) {
	m.advance(now)
	if a, reserve := m.settle(c); a != nil {
		a.reserve += reserve
		for _, l := range c.lots {
			if now.Before(l.until) {
				a.lots = append(a.lots, l)
			}
		}
		c.lots = nil
	}
}

// settle ends a charge. It returns its account and what may return to the reserve, nil if
// the account is gone or counts in another unit.
func (m *Meter) settle(c *Charge) (a *account, reserve float64) {
	if c == nil {
		return nil, 0
	}
	if a = m.accounts[c.account]; a == nil || a.Tokens != c.tokens {
		return nil, 0
	}
	reserve = min(c.reserve, a.returnable)
	a.returnable -= reserve
	c.reserve = 0
	return a, reserve
}

// DeniedFor returns the time for which the holder can't grant an account more.
func (m *Meter) DeniedFor(now time.Time, name string) time.Duration {
	if a := m.accounts[name]; a != nil && a.deniedUntil.After(now) {
		return a.deniedUntil.Sub(now)
	}
	return 0
}

// ReturnAfter returns after which time a caller that is denied may come back: no earlier
// than the holder can grant more, and one after the other at this daemon's part of the
// account's rate. Callers for whom that is too late are spread evenly over the time that
// they honour. u is random in [0, 1).
func (m *Meter) ReturnAfter(now time.Time, name string, r Return, u float64) time.Duration {
	first := min(max(m.DeniedFor(now, name), r.Least), r.Most)
	a := m.accounts[name]
	if a == nil {
		return first
	}
	at := max(a.nextReturn.Sub(now), first)
	step := time.Duration(min(r.Size*float64(max(r.Daemons, 1))/a.PerSecond, maxReturnStep.Seconds()) * float64(time.Second))
	if at > r.Most {
		return first + time.Duration(u*float64(r.Most-first))
	}
	a.nextReturn = now.Add(at + step)
	return at + time.Duration(u*float64(min(step, first/2, r.Most-at)))
}

// Reached reports whether the holder may still answer: it has done so lately, or not
// yet.
func (m *Meter) Reached(now time.Time) bool {
	return m.answered == 0 || now.Sub(m.answeredAt) <= issuer.FillDelay
}

// SilentFor returns the time since the holder's last answer, 0 if there was none.
func (m *Meter) SilentFor(now time.Time) time.Duration {
	if m.answered == 0 {
		return 0
	}
	return now.Sub(m.answeredAt)
}

// Question returns the next question to the holder, given what waits by account. It is
// empty if no account has a bound.
func (m *Meter) Question(now time.Time, waiting map[string]Waiting) fleet.AllowanceAsk {
	if len(m.accounts) == 0 {
		return fleet.AllowanceAsk{}
	}
	m.advance(now)
	m.asked++
	m.askedAt = now
	q := fleet.AllowanceAsk{ID: m.asked, Answered: m.answered, Share: m.share}
	if m.answered != 0 {
		q.Since = now.Sub(m.answeredAt)
	}
	for name, a := range m.accounts {
		w := a.want(waiting[name])
		w.Reserve = m.share*a.bounds.Reserve - a.reserve - a.returnable
		if w.Need <= 0 && w.Reserve <= 0 {
			continue
		}
		if q.Wants == nil {
			q.Wants = map[string]fleet.Want{}
		}
		q.Wants[name] = w
	}
	return q
}

// want returns what requests that wait lack.
func (a *account) want(n Waiting) fleet.Want {
	// What has been granted already is not enough for the smallest.
	room := a.reserve
	for _, l := range a.lots {
		room += l.amount
	}
	return fleet.Want{Need: max(n.Sum-room, 0), Least: max(n.Least-room, 0)}
}

// Wants returns what requests that wait lack by account, as a question to a delegate.
func (m *Meter) Wants(now time.Time, waiting map[string]Waiting) map[string]fleet.Want {
	m.advance(now)
	wants := map[string]fleet.Want{}
	for name, n := range waiting {
		if a := m.accounts[name]; a != nil {
			if w := a.want(n); w.Need > 0 {
				wants[name] = w
			}
		}
	}
	return wants
}

// Apply applies the answer to the last question, and ignores others.
func (m *Meter) Apply(now time.Time, r *fleet.AllowanceReply) {
	if r.ID == 0 || r.ID != m.asked {
		return
	}
	m.advance(now)
	if until := m.askedAt.Add(issuer.ShareTTL); now.Before(until) {
		m.answered, m.answeredAt, m.shareUntil = r.ID, now, until
		m.setShare(r.Share)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Grants)) {
		a, g := m.accounts[name], r.Grants[name]
		if a == nil {
			continue
		}
		until := m.askedAt.Add(a.bounds.GrantTTL)
		if now.Before(until) {
			if g.Need > 0 {
				a.lots = append(a.lots, lot{g.Need, until})
			}
			a.reserve = min(a.reserve+max(g.Reserve, 0), m.share*a.bounds.Reserve-a.returnable)
		}
		if g.Wait > 0 {
			a.deniedUntil = now.Add(g.Wait)
		} else if g.Need > 0 {
			a.deniedUntil = time.Time{}
		}
	}
}

// Lend takes what another daemon lacks for requests that wait from the reserves, as far as
// they have it. What is lent never returns.
func (m *Meter) Lend(now time.Time, wants map[string]fleet.Want) map[string]fleet.Grant {
	m.advance(now)
	lent := map[string]fleet.Grant{}
	for name, w := range wants {
		a := m.accounts[name]
		if a == nil || w.Need <= 0 {
			continue
		}
		switch {
		case w.Need <= a.reserve:
			lent[name] = fleet.Grant{Need: w.Need}
		case w.Least > 0 && w.Least <= a.reserve:
			lent[name] = fleet.Grant{Need: a.reserve}
		default:
			continue
		}
		a.reserve -= lent[name].Need
	}
	return lent
}

// Borrow adds what a delegate has lent in answer to a question that was sent at askedAt. It
// holds for as long as a grant of the holder does.
func (m *Meter) Borrow(askedAt, now time.Time, lent map[string]fleet.Grant) {
	for _, name := range slices.Sorted(maps.Keys(lent)) {
		a := m.accounts[name]
		if a == nil {
			continue
		}
		if until := askedAt.Add(a.bounds.GrantTTL); now.Before(until) && lent[name].Need > 0 {
			a.lots = append(a.lots, lot{lent[name].Need, until})
		}
	}
}

// Share returns the share of the allowances that the daemon holds.
func (m *Meter) Share(now time.Time) float64 {
	m.advance(now)
	return m.share
}
