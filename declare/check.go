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
// grants form from them below the range of int64, for configurations of up to
// 2^17 upstreams, which is more than a record of 8 MiB can hold.
const (
	maxName         = 63
	maxBytes        = int64(1) << 44
	maxAdapterSlots = 1 << 12
	maxCount        = 1 << 20
	// maxList bounds the lists inside a service or a model. They are searched
	// linearly, and a record of 8 MiB could hold 10^5 elements in one list.
	maxList = 256
	// maxDeadlineMS is 24 h, the longest time that claims accept a key.
	maxDeadlineMS = 24 * 60 * 60 * 1000
)

// checker collects the problems of one deployment. Paths are formatted only
// when a problem is found, so a valid deployment costs no formatting.
type checker struct {
	d *Deployment
	x *Index
	// memory holds the engines' memory sizes by service, in rising order.
	memory    map[string][]int64
	seen      map[string]int
	domains   map[string]bool
	problems  []error
	addresses map[netip.AddrPort]int
}

func (c *checker) add(kind ProblemKind, path, format string, args ...any) {
	c.problems = append(c.problems, &Problem{Kind: kind, Path: path, Detail: fmt.Sprintf(format, args...)})
}

// at returns the path of a field of the i-th element of a list.
func at(list string, i int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}

// kebab reports whether s consists of lower-case letters and digits in parts
// that are separated by single hyphens.
func kebab(s string) bool {
	if s == "" || len(s) > maxName || s[0] == '-' || s[len(s)-1] == '-' {
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

// name checks the form of the i-th name of a list, and that it is new in it.
func (c *checker) name(list string, i int, field, name string) {
	if !kebab(name) {
		c.add(BadName, at(list, i, field), "%q: a name has up to %d lower-case letters, digits and single hyphens", name, maxName)
	}
	if first, ok := c.seen[name]; ok {
		c.add(DuplicateName, at(list, i, field), "%q is also the name of %s", name, at(list, first, ""))
		return
	}
	c.seen[name] = i
}

// count checks that n lies in [least, most].
func (c *checker) count(list string, i int, field string, n, least, most int) {
	if n < least || n > most {
		c.add(OutOfRange, at(list, i, field), "%d: allowed are %d to %d", n, least, most)
	}
}

// size checks that n bytes lie in [least, maxBytes].
func (c *checker) size(list string, i int, field string, n, least int64) {
	if n < least || n > maxBytes {
		c.add(OutOfRange, at(list, i, field), "%d bytes: allowed are %d to %d", n, least, maxBytes)
	}
}

// length checks the length of a list inside a service or a model.
func (c *checker) length(list string, i int, field string, n int) bool {
	if n > maxList {
		c.add(OutOfRange, at(list, i, field), "%d elements: allowed are up to %d", n, maxList)
	}
	return n <= maxList
}

func (c *checker) class(path func() string, cl Class) {
	switch cl {
	case "", Urgent, Background:
	default:
		c.add(UnknownValue, path(), "class %q: allowed are %s and %s", cl, Urgent, Background)
	}
}

// address checks that s is an IP number with a port other than 0, and that no
// other upstream has it.
func (c *checker) address(i int, s string) {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		c.add(BadAddress, at("upstreams", i, "address"), "%q: an IP number and a port are needed, such as 127.0.0.1:8080 or [::1]:8080", s)
		return
	case a.Port() == 0:
		c.add(BadAddress, at("upstreams", i, "address"), "%q: port 0 can't be called", s)
		return
	case a.Addr().IsUnspecified():
		c.add(BadAddress, at("upstreams", i, "address"), "%q: the unspecified address can't be called", s)
		return
	}
	if first, ok := c.addresses[a]; ok {
		c.add(DuplicateAddress, at("upstreams", i, "address"), "%s is also the address of %s", s, c.d.Upstreams[first].Name)
		return
	}
	c.addresses[a] = i
}

func (c *checker) timeOfDay(path func() string, s string) {
	// time.Parse accepts hours of one digit, which would let one time have
	// two spellings.
	if _, err := time.Parse("15:04", s); err != nil || len(s) != len("15:04") {
		c.add(BadTime, path(), "%q: a time of day in UTC is needed, such as 07:30", s)
	}
}

func (c *checker) prefix(path func() string, s string) {
	if !strings.HasPrefix(s, "/") {
		c.add(BadPath, path(), "%q: a path prefix starts with a slash", s)
		return
	}
	if strings.ContainsAny(s, "?#") || strings.Contains(s, "//") || strings.Contains(s+"/", "/../") || strings.Contains(s+"/", "/./") {
		c.add(BadPath, path(), "%q: a path prefix has no query, fragment, empty or dot segment", s)
	}
}

// sortMemory fills c.memory.
func (c *checker) sortMemory() {
	c.memory = make(map[string][]int64, len(c.d.Services))
	for i := range c.d.Upstreams {
		u := &c.d.Upstreams[i]
		c.memory[u.Service] = append(c.memory[u.Service], u.MemoryBytes)
	}
	for _, sizes := range c.memory {
		slices.Sort(sizes)
	}
}

// within reports whether f lies in [low, high]; NaN does not.
func within(f, low, high float64) bool {
	return !math.IsNaN(f) && f >= low && f <= high
}
