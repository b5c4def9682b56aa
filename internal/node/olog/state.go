package olog

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/origin"
)

// versionState is a holder's state of versions, written in an era of the log. In
// another era it may lack versions that were announced later.
type versionState struct {
	origin.State
	Era int64 `json:"era"`
}

// stateKey is the last part of the key of a record of a holder's state.
const stateKey = "state"

// writeState writes the holder's state of versions if the topic lacks it, and then removes
// those of former holders.
func (s *Store) writeState(ctx context.Context) error {
	state, ok := s.holder.VersionState()
	if !ok {
		return nil
	}
	s.mu.Lock()
	era, own := s.era, s.states[s.host]
	var former []string
	for host := range s.states {
		if host != s.host {
			former = append(former, host)
		}
	}
	s.mu.Unlock()
	if own == nil || own.Era != era || !own.Equal(state) {
		v := &versionState{State: state, Era: era}
		value, err := json.Marshal(record{State: v})
		if err != nil {
			return merry.Wrap(err)
		}
		if err := s.topic.Put(ctx, s.host+"/"+stateKey, value); err != nil {
			return err
		}
		event.OriginsStored.Log("key", s.host+"/"+stateKey, "announced", state.Announced, "open", state.Open, "complete", state.Complete)
		s.mu.Lock()
		if s.era == era {
			s.states[s.host] = v
			s.countRewritten()
		}
		s.mu.Unlock()
	}
	s.holder.VersionStateWritten(state)
	for _, host := range former {
		if err := s.topic.Put(ctx, host+"/"+stateKey, nil); err != nil {
			return err
		}
		s.mu.Lock()
		delete(s.states, host)
		s.mu.Unlock()
	}
	return nil
}

// joinStates returns what the states of all holders list, nil if there is none. A former
// holder's may have been written late, and one of an earlier era isn't complete.
func joinStates(states map[string]*versionState, era int64) *origin.State {
	var joined *origin.State
	for _, v := range states {
		s := v.State
		s.Complete = s.Complete && v.Era == era
		if joined != nil {
			s = joined.Join(s)
		}
		joined = &s
	}
	return joined
}
