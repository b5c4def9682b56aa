package opener

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/origin"
)

type (
	// Opener decides for one tenure of the holder.
	Opener struct {
		wait  time.Duration
		began time.Time
		// resumed is set once what the former holder decided is known, fresh if there
		// was none. completeAt is when all versions that may have begun streams are
		// known, zero once they are.
		// legacy is set if the log has what daemons of earlier builds wrote alone.
		resumed, fresh, legacy bool
		completeAt             time.Time
		services               map[string]*service
		daemons                map[string]daemon
		// rev counts the changes of the state. state is that of stateRev.
		rev, stateRev uint64
		state         origin.State
	}

	// Change is an announcement, an opening or the end of a version, for logs.
	Change struct {
		Service, Version string
		What             What
		// After is the time since the announcement.
		After time.Duration
		// Missing are the daemons that didn't know the announcement and were not
		// waited for any longer.
		Missing []string
	}

	// What is what has happened to a version.
	What uint8

	service struct {
		versions map[string]*version
		// emptySince is since when no version of it was announced before the first
		// of those that are, zero for ever.
		emptySince time.Time
	}

	version struct {
		registeredAt, announcedAt time.Time
		// rev is the revision that announces the version.
		rev uint64
		// writtenAt is when the log was known to have the announcement, zero before.
		writtenAt time.Time
		// open is set once streams may begin, admitted once the log has that.
		open, admitted bool
		missing        []string
	}

	// daemon is when a daemon was last heard, and the revision that it knows.
	daemon struct {
		at  time.Time
		rev uint64
	}
)

// Values of What.
const (
	Announced What = iota
	Opened
	Forgotten
)

// absenceLimit is how long a daemon that isn't heard is waited for: callers give up a
// stream after a gap of four times the target for its first event or eight times that
// for its pauses, which the users' routes set to at most 2.5 s and 0.2 s.
const absenceLimit = 10 * time.Second

// String returns the name of w for logs.
func (w What) String() string { return [...]string{"announced", "opened", "forgotten"}[w] }

// New returns the Opener of a tenure that begins now. wait is the least time from the
// announcement of a version in the log until it is opened.
func New(now time.Time, wait time.Duration) *Opener {
	return &Opener{wait: wait, began: now, services: map[string]*service{}, daemons: map[string]daemon{}}
}

// Resumed reports whether Resume was called.
func (o *Opener) Resumed() bool { return o.resumed }

// Resume continues from the state that the log had after the tenure began, nil if it had
// none. fresh is set if no former holder can have let streams begin, because the log has
// never been written.
func (o *Opener) Resume(now time.Time, s *origin.State, fresh bool) {
	o.resumed, o.fresh, o.legacy = true, s == nil && fresh, s == nil && !fresh
	o.rev++
	if o.fresh {
		return
	}
	if s == nil || !s.Complete {
		o.completeAt = now.Add(origin.Retention)
	}
	if s == nil {
		return
	}
	for name, vs := range s.Announced {
		for _, v := range vs {
			o.service(name).versions[v] = &version{
				registeredAt: now, announcedAt: now, rev: o.rev, writtenAt: now,
				open: slices.Contains(s.Open[name], v), admitted: slices.Contains(s.Open[name], v),
			}
		}
	}
}

// Unsure states that streams may have begun at versions that weren't announced: there are
// daemons of an earlier build.
func (o *Opener) Unsure(now time.Time) {
	if !now.Before(o.completeAt) {
		o.rev++
	}
	o.completeAt = now.Add(origin.Retention)
}

func (o *Opener) service(name string) *service {
	s := o.services[name]
	if s == nil {
		s = &service{versions: map[string]*version{}}
		if !o.fresh {
			s.emptySince = o.began
		}
		o.services[name] = s
	}
	return s
}

// Registered records that an upstream with a version is registered.
func (o *Opener) Registered(now time.Time, name, v string) {
	if s := o.services[name]; s != nil && s.versions[v] != nil {
		s.versions[v].registeredAt = now
	}
}

// Serve announces a version, an upstream of which may serve before long. It does nothing
// before Resume.
func (o *Opener) Serve(now time.Time, name, v string) (changes []Change) {
	if !o.resumed {
		return nil
	}
	s := o.service(name)
	if x := s.versions[v]; x != nil {
		x.registeredAt = now
		return nil
	}
	o.rev++
	s.versions[v] = &version{registeredAt: now, announcedAt: now, rev: o.rev}
	return []Change{{Service: name, Version: v, What: Announced}}
}

// Written records that the log has a state.
func (o *Opener) Written(now time.Time, s origin.State) {
	for name, vs := range s.Announced {
		for _, v := range vs {
			x := o.service(name).versions[v]
			if x == nil {
				continue
			}
			if x.writtenAt.IsZero() {
				x.writtenAt = now
			}
			if !x.admitted && slices.Contains(s.Open[name], v) {
				x.admitted = true
				o.rev++
			}
		}
	}
}

// Heard records that a daemon knows the state of a revision, 0 for none.
func (o *Opener) Heard(now time.Time, host string, rev uint64) {
	o.daemons[host] = daemon{now, max(rev, o.daemons[host].rev)}
}

// Update opens the versions that may be, and forgets those that have expired.
func (o *Opener) Update(now time.Time) (changes []Change) {
	if !o.resumed {
		return nil
	}
	for host, d := range o.daemons {
		if now.Sub(d.at) > origin.Retention {
			delete(o.daemons, host)
		}
	}
	for name, s := range o.services {
		// Nobody relies on a state that has been incomplete from the beginning.
		first := o.legacy && !o.completeAt.IsZero() || s.first(now, o.wait)
		for v, x := range s.versions {
			c := Change{Service: name, Version: v, After: now.Sub(x.announcedAt)}
			switch {
			case now.Sub(x.registeredAt) > origin.Retention:
				c.What = Forgotten
				delete(s.versions, v)
				s.emptySince = now
			case !x.open && (first || o.mayOpen(now, x)):
				c.What, c.Missing = Opened, x.missing
				x.open = true
			default:
				continue
			}
			changes = append(changes, c)
		}
	}
	if len(changes) > 0 {
		o.rev++
	}
	if !o.completeAt.IsZero() && !now.Before(o.completeAt) {
		o.completeAt = time.Time{}
		o.rev++
	}
	return changes
}

// first reports whether the versions of the service are the first ones, so that no daemon
// can rely on a state with others.
func (s *service) first(now time.Time, wait time.Duration) bool {
	for _, x := range s.versions {
		if x.open || !x.writtenAt.IsZero() {
			return false
		}
	}
	return s.emptySince.IsZero() || now.Sub(s.emptySince) >= wait
}

// mayOpen reports whether streams may begin at a version beside others.
func (o *Opener) mayOpen(now time.Time, x *version) bool {
	if x.writtenAt.IsZero() || now.Sub(x.writtenAt) < o.wait || !o.fresh && now.Sub(o.began) < absenceLimit {
		return false
	}
	x.missing = x.missing[:0]
	for host, d := range o.daemons {
		if d.rev >= x.rev {
			continue
		}
		if now.Sub(d.at) <= absenceLimit {
			return false
		}
		x.missing = append(x.missing, host)
	}
	slices.Sort(x.missing)
	return true
}

// State returns the state, which isn't changed afterwards, and its revision, which is 0
// before Resume.
func (o *Opener) State() (origin.State, uint64) {
	if o.stateRev == o.rev {
		return o.state, o.rev
	}
	st := origin.State{Announced: origin.Versions{}, Open: origin.Versions{}, Admitted: origin.Versions{}, Complete: o.completeAt.IsZero()}
	for name, s := range o.services {
		for v, x := range s.versions {
			st.Announced[name] = append(st.Announced[name], v)
			if x.open {
				st.Open[name] = append(st.Open[name], v)
			}
			if x.admitted {
				st.Admitted[name] = append(st.Admitted[name], v)
			}
		}
	}
	for _, vs := range []origin.Versions{st.Announced, st.Open, st.Admitted} {
		for name := range vs {
			slices.Sort(vs[name])
		}
	}
	o.state, o.stateRev = st, o.rev
	return st, o.rev
}
