package hosts

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

type (
	// State is the platform's view of a host.
	State string

	// Host is one entry of the list.
	Host struct {
		Name string `json:"name"`
		// Address is an IP address, with or without a port.
		Address       string `json:"address"`
		FailureDomain string `json:"failure-domain"`
		State         State  `json:"state"`
	}

	// List is the host list at one time.
	List struct {
		// TimeMS is the time by the platform's clock, in milliseconds since
		// 1970.
		TimeMS int64  `json:"time-ms"`
		Hosts  []Host `json:"hosts"`
	}
)

// States of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// decodeList decodes and validates a host list. It fails on an entry without a
// name, on an invalid address (a host that is gone needs none), on an unknown
// state and on a duplicate name, because a state that is wrongly decoded as
// "gone" would release grants that may still be in use.
func decodeList(b []byte) (List, error) {
	var l List
	if err := json.Unmarshal(b, &l); err != nil {
		return List{}, err
	}
	if l.TimeMS <= 0 || l.Hosts == nil {
		return List{}, fmt.Errorf("host list has no time or no hosts")
	}
	seen := make(map[string]bool, len(l.Hosts))
	for i, h := range l.Hosts {
		_, err := netip.ParseAddr(h.Address)
		if err != nil {
			_, err = netip.ParseAddrPort(h.Address)
		}
		switch {
		case h.Name == "" || seen[h.Name]:
			return List{}, fmt.Errorf("hosts[%d]: name %q is empty or occurs twice", i, h.Name)
		case err != nil && (h.State != Gone || h.Address != ""):
			return List{}, fmt.Errorf("hosts[%d]: %w", i, err)
		case h.State != Live && h.State != Leaving && h.State != Gone:
			return List{}, fmt.Errorf("hosts[%d]: unknown state %q", i, h.State)
		}
		seen[h.Name] = true
	}
	return l, nil
}
