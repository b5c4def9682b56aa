package setup

import "strings"

// scan finds the line of each key, which the INI library does not keep, and
// reports lines that the library would skip, merge or read differently. It
// returns the text with all rejected lines blank, so that the library reads
// only known keys, each once.
func (p *parser) scan(text string) string {
	lines := strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")
	section, known := "", false
	for i, raw := range lines {
		line := strings.TrimSpace(raw)
		lines[i] = ""
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, known = p.header(i+1, line)
			if known {
				lines[i] = "[" + section + "]"
			}
		case p.entry(i+1, section, known, line):
			lines[i] = line
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// header reads the line of a section; known is false if it is rejected.
func (p *parser) header(n int, line string) (section string, known bool) {
	name, rest, ok := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	if !ok || rest != "" && rest[0] != '#' && rest[0] != ';' {
		p.add(&Problem{Kind: BadSyntax, Line: n, Detail: "a section has the form [name]"})
		return "", false
	}
	if _, known = lookup(name, ""); !known {
		p.add(&Problem{Kind: UnknownSection, Line: n, Section: name, Detail: "there is no such section", Allowed: names("")})
	}
	return name, known
}

// entry reads the line of a key; it returns false if the line is rejected.
func (p *parser) entry(n int, section string, known bool, line string) bool {
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || key == "":
		p.add(&Problem{Kind: BadSyntax, Line: n, Section: section, Detail: "the line has no key and equals sign", Allowed: "key = value, [section], # comment"})
		return false
	case section == "":
		p.add(&Problem{Kind: BadSyntax, Line: n, Key: key, Detail: "the key stands in no section", Allowed: names("")})
		return false
	case !known:
		// The section is reported.
		return false
	}
	f, _ := lookup(section, key)
	if f == nil {
		p.add(&Problem{Kind: UnknownKey, Line: n, Section: section, Key: key, Detail: "there is no such key", Allowed: names(section)})
		return false
	}
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") || strings.ContainsRune(value, '\x00') {
		p.add(&Problem{Kind: BadSyntax, Line: n, Section: section, Key: key, Detail: "multi-line values and NUL are not read", Allowed: f.allowed})
		return false
	}
	if first, ok := p.lines[f]; ok {
		p.add(&Problem{Kind: DuplicateKey, Line: n, Section: section, Key: key, Detail: "the key also stands in line " + itoa(first), Allowed: "each key once"})
		return false
	}
	p.lines[f] = n
	return true
}
