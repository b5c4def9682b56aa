package setup

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// The functions parseX return the kind of the problem and what was found; the
// kind is empty for a valid value.

const (
	// maxHostNameBytes and maxLabelBytes are the limits of the DNS; the latter
	// also bounds the name of a failure domain.
	maxHostNameBytes = 253
	maxLabelBytes    = 63
	// maxSize is the largest size accepted before the check of a key's range.
	maxSize = int64(1) << 62
)

// sizeUnits lists "B" last, because it is a suffix of the other units.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// parseSize parses a whole number with a unit, such as 256KiB or 1 MiB.
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
		if n > maxSize/u.bytes || n < 0 {
			return 0, OutOfRange, fmt.Sprintf("%q is negative or too large", v)
		}
		return n * u.bytes, "", ""
	}
	return 0, WrongUnit, fmt.Sprintf("%q is not a number with a unit of size", v)
}

// parseDuration parses a duration. It rejects a bare 0, which time.ParseDuration
// accepts.
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

// isHostName reports whether v is a host name of lower-case letters, digits,
// hyphens and dots.
func isHostName(v string) bool {
	for _, part := range strings.Split(v, ".") {
		if !isKebabCase(part) {
			return false
		}
	}
	return len(v) <= maxHostNameBytes
}

func isKebabCase(v string) bool {
	if v == "" || len(v) > maxLabelBytes || v[0] == '-' || v[len(v)-1] == '-' || strings.Contains(v, "--") {
		return false
	}
	return strings.Trim(v, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// parseListenAddress parses the address of a listener.
func parseListenAddress(v string) (a netip.AddrPort, kind ProblemKind, detail string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, BadAddress, fmt.Sprintf("%q is not an IP address with a port", v)
	}
	return a, "", ""
}

// parseDialAddress parses an address to connect to.
func parseDialAddress(v string) (a netip.AddrPort, kind ProblemKind, detail string) {
	a, kind, detail = parseListenAddress(v)
	if kind == "" && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		return a, BadAddress, fmt.Sprintf("%q has port 0 or the unspecified address", v)
	}
	return a, kind, detail
}

// parseBaseURL parses the address of an HTTP service, with or without a scheme,
// and returns its base URL without a trailing slash.
func parseBaseURL(v string) (base string, kind ProblemKind, detail string) {
	full := v
	if !strings.Contains(v, "://") {
		full = "http://" + v
	}
	u, err := url.Parse(full)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.User != nil || u.RawQuery != "" || u.ForceQuery || u.Fragment != "" || u.Opaque != "" {
		return "", BadAddress, fmt.Sprintf("%q is not an address or URL of an HTTP service", v)
	}
	if _, kind, detail := parseDialAddress(u.Host); kind != "" {
		return "", kind, detail
	}
	return strings.TrimRight(u.Scheme+"://"+u.Host+u.EscapedPath(), "/"), "", ""
}

// formatSize formats n with the largest unit that divides it.
func formatSize(n int64) string {
	for _, u := range []int{2, 1, 0} {
		if n >= sizeUnits[u].bytes && n%sizeUnits[u].bytes == 0 {
			return strconv.FormatInt(n/sizeUnits[u].bytes, 10) + sizeUnits[u].name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// formatDuration formats d without trailing zero parts, such as 10m for 10m0s.
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

// BaseURL returns the base URL, without a trailing slash, for an IP address with
// a port or an http or https URL with one. The error is a *Problem.
func BaseURL(v string) (string, error) {
	base, kind, detail := parseBaseURL(v)
	if kind != "" {
		return "", &Problem{Kind: kind, File: "address", Detail: detail, Allowed: allowedURL}
	}
	return base, nil
}
