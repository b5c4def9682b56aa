package setup

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Each check returns the kind of the problem and what was found; the kind is
// empty for a good value.

// sizeUnits are ordered so that "B" is tried last.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// parseSize reads a whole number with a unit, such as 256KiB or 1 MiB.
func parseSize(v string) (n int64, kind ProblemKind, detail string) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(v, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil {
			return 0, BadValue, fmt.Sprintf("%q is not a whole number with a unit", v)
		}
		if n > (1<<62)/u.bytes || n < 0 {
			return 0, OutOfRange, fmt.Sprintf("%q is negative or too large", v)
		}
		return n * u.bytes, "", ""
	}
	return 0, WrongUnit, fmt.Sprintf("%q is not a number with a unit of size", v)
}

// parseDuration reads a duration whose every number has a unit.
func parseDuration(v string) (d time.Duration, kind ProblemKind, detail string) {
	d, err := time.ParseDuration(v)
	if err != nil || v[len(v)-1] <= '9' {
		if strings.ContainsAny(v, "0123456789") {
			return 0, WrongUnit, fmt.Sprintf("%q is not a number with a unit of time", v)
		}
		return 0, BadValue, fmt.Sprintf("%q is not a duration", v)
	}
	return d, "", ""
}

func parseCount(v string) (n int, kind ProblemKind, detail string) {
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, BadValue, fmt.Sprintf("%q is not a whole number without a unit", v)
	}
	return n, "", ""
}

// hostName checks a host's name: lower-case letters, digits, hyphens and dots.
func hostName(v string) bool {
	for _, part := range strings.Split(v, ".") {
		if !kebab(part) {
			return false
		}
	}
	return len(v) <= 253
}

func kebab(v string) bool {
	if v == "" || len(v) > 63 || v[0] == '-' || v[len(v)-1] == '-' || strings.Contains(v, "--") {
		return false
	}
	return strings.Trim(v, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// parseListen reads the address of a listener.
func parseListen(v string) (a netip.AddrPort, kind ProblemKind, detail string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, BadAddress, fmt.Sprintf("%q is not an IP number with a port", v)
	}
	return a, "", ""
}

// parseDial reads an address that is called.
func parseDial(v string) (a netip.AddrPort, kind ProblemKind, detail string) {
	a, kind, detail = parseListen(v)
	if kind == "" && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		return a, BadAddress, fmt.Sprintf("%q can't be called", v)
	}
	return a, kind, detail
}

// parseBase reads an address that is called over HTTP, with or without a
// scheme, and returns its base URL without a trailing slash.
func parseBase(v string) (base string, kind ProblemKind, detail string) {
	full := v
	if !strings.Contains(v, "://") {
		full = "http://" + v
	}
	u, err := url.Parse(full)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.User != nil || u.RawQuery != "" || u.ForceQuery || u.Fragment != "" || u.Opaque != "" {
		return "", BadAddress, fmt.Sprintf("%q is not an HTTP address", v)
	}
	if _, kind, detail := parseDial(u.Host); kind != "" {
		return "", kind, detail
	}
	return strings.TrimRight(u.Scheme+"://"+u.Host+u.EscapedPath(), "/"), "", ""
}

// formatSize returns n with the largest unit that divides it.
func formatSize(n int64) string {
	for _, u := range []int{2, 1, 0} {
		if n >= sizeUnits[u].bytes && n%sizeUnits[u].bytes == 0 {
			return strconv.FormatInt(n/sizeUnits[u].bytes, 10) + sizeUnits[u].name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// formatDuration returns d without zero parts, such as 10m for 10m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// BaseURL returns the base URL, without a trailing slash, for an IP number
// with a port or an http or https URL of one. It fails with a *Problem.
func BaseURL(v string) (string, error) {
	base, kind, detail := parseBase(v)
	if kind != "" {
		return "", &Problem{Kind: kind, File: "address", Detail: detail, Allowed: allowedBase}
	}
	return base, nil
}
