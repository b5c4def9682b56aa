package declare

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Bounds of single values. They keep every sum that Validate, Index and the
// grants compute from them within int64, for configurations of up to 2^17
// upstreams, which is more than a record of 8 MiB can hold.
const (
	maxNameBytes    = 63
	maxSizeBytes    = int64(1) << 44
	maxAdapterSlots = 1 << 12
	maxCount        = 1 << 20
	// maxListLength bounds the lists inside a service or a model. They are
	// searched linearly, and a record of 8 MiB could hold 10^5 elements in one
	// list.
	maxListLength = 256
	// maxDeadlineMS is 24 h, the longest time for which claims accept a key.
	maxDeadlineMS = 24 * 60 * 60 * 1000
)

// checker collects the problems of one deployment. It formats paths only when it
// finds a problem, so that validating a valid deployment formats nothing.
type checker struct {
	deployment *Deployment
	index      *Index
	// memoryByService holds the memory sizes of a service's upstreams in
	// ascending order.
	memoryByService map[string][]int64
	// indexByName holds the positions of the names in the list being checked.
	indexByName map[string]int
	// domains is the set of declared failure domains.
	domains  map[string]bool
	problems []error
	// addresses holds the position of the first upstream with each address.
	addresses map[netip.AddrPort]int
}

func (c *checker) add(kind ProblemKind, path, format string, args ...any) {
	c.problems = append(c.problems, &Problem{Kind: kind, Path: path, Detail: fmt.Sprintf(format, args...)})
}

// elementPath returns the path of a field of the i-th element of a list, or of
// the element if field is empty.
func elementPath(list string, i int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}

// isKebabCase reports whether s consists of lower-case letters and digits in
// parts that are separated by single hyphens.
func isKebabCase(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for i := 0; i < len(s); i++ {
		switch ch := s[i]; {
		case 'a' <= ch && ch <= 'z', '0' <= ch && ch <= '9':
		case ch == '-' && s[i-1] != '-':
		default:
			return false
		}
	}
	return true
}

// checkName checks the form of the i-th name of a list, and that no earlier
// element has the same name.
func (c *checker) checkName(list string, i int, field, name string) {
	if !isKebabCase(name) {
		c.add(BadName, elementPath(list, i, field), "%q: a name has up to %d lower-case letters, digits and single hyphens", name, maxNameBytes)
	}
	if first, ok := c.indexByName[name]; ok {
		c.add(DuplicateName, elementPath(list, i, field), "%q is also the name of %s", name, elementPath(list, first, ""))
		return
	}
	c.indexByName[name] = i
}

// checkCount checks that n is in [low, high].
func (c *checker) checkCount(list string, i int, field string, n, low, high int) {
	if n < low || n > high {
		c.add(OutOfRange, elementPath(list, i, field), "%d: allowed are %d to %d", n, low, high)
	}
}

// checkSize checks that n bytes are in [low, maxSizeBytes].
func (c *checker) checkSize(list string, i int, field string, n, low int64) {
	if n < low || n > maxSizeBytes {
		c.add(OutOfRange, elementPath(list, i, field), "%d bytes: allowed are %d to %d", n, low, maxSizeBytes)
	}
}

// checkListLength reports whether the length of a list inside a service or a
// model is allowed, and adds a problem if not.
func (c *checker) checkListLength(list string, i int, field string, n int) bool {
	if n > maxListLength {
		c.add(OutOfRange, elementPath(list, i, field), "%d elements: allowed are up to %d", n, maxListLength)
	}
	return n <= maxListLength
}

func (c *checker) checkClass(path func() string, cl Class) {
	switch cl {
	case "", Urgent, Background:
	default:
		c.add(UnknownValue, path(), "class %q: allowed are %s and %s", cl, Urgent, Background)
	}
}

// checkAddress checks that s is an IP address with a port other than 0, and that
// no earlier upstream has the same address.
func (c *checker) checkAddress(i int, s string) {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		c.add(BadAddress, elementPath("upstreams", i, "address"), "%q: an IP address with a port is required, such as 127.0.0.1:8080 or [::1]:8080", s)
		return
	case a.Port() == 0:
		c.add(BadAddress, elementPath("upstreams", i, "address"), "%q: port 0 is not allowed", s)
		return
	case a.Addr().IsUnspecified():
		c.add(BadAddress, elementPath("upstreams", i, "address"), "%q: the unspecified address is not allowed", s)
		return
	}
	if first, ok := c.addresses[a]; ok {
		c.add(DuplicateAddress, elementPath("upstreams", i, "address"), "%s is also the address of %s", s, c.deployment.Upstreams[first].Name)
		return
	}
	c.addresses[a] = i
}

func (c *checker) checkTimeOfDay(path func() string, s string) {
	// time.Parse accepts hours of one digit, which would allow two spellings
	// of one time.
	if _, err := time.Parse("15:04", s); err != nil || len(s) != len("15:04") {
		c.add(BadTime, path(), "%q: a time of day in UTC is required, such as 07:30", s)
	}
}

func (c *checker) checkPathPrefix(path func() string, s string) {
	if !strings.HasPrefix(s, "/") {
		c.add(BadPath, path(), "%q: a path prefix starts with a slash", s)
		return
	}
	if strings.ContainsAny(s, "?#") || strings.Contains(s, "//") || strings.Contains(s+"/", "/../") || strings.Contains(s+"/", "/./") {
		c.add(BadPath, path(), "%q: a path prefix has no query, fragment, empty or dot segment", s)
	}
}

// sortMemory fills c.memoryByService.
func (c *checker) sortMemory() {
	c.memoryByService = make(map[string][]int64, len(c.deployment.Services))
	for i := range c.deployment.Upstreams {
		u := &c.deployment.Upstreams[i]
		c.memoryByService[u.Service] = append(c.memoryByService[u.Service], u.MemoryBytes)
	}
	for _, sizes := range c.memoryByService {
		slices.Sort(sizes)
	}
}

// inRange reports whether f is in [low, high]; NaN is not.
func inRange(f, low, high float64) bool {
	return !math.IsNaN(f) && f >= low && f <= high
}
