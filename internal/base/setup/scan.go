package setup

import "strings"

// scan records the line of each key, which the INI library does not keep, and
// reports lines that the library would skip, merge or interpret differently. It
// returns the text with all rejected lines blank, so that the library sees only
// known keys, each once.
func (p *parser) scan(text string) string {
	lines := strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")
	section, known := "", false
	for i, raw := range lines {
		line := strings.TrimSpace(raw)
		lines[i] = ""
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, known = p.scanSection(i+1, line)
			if known {
				lines[i] = "[" + section + "]"
			}
		case p.scanKey(i+1, section, known, line):
			lines[i] = line
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// scanSection parses the line of a section; known is false if it is rejected.
func (p *parser) scanSection(n int, line string) (section string, known bool) {
	name, rest, ok := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	if !ok || rest != "" && rest[0] != '#' && rest[0] != ';' {
		p.add(&Problem{Kind: BadSyntax, Line: n, Detail: "a section has the form [name]"})
		return "", false
	}
	if _, known = lookup(name, ""); !known {
		p.add(&Problem{Kind: UnknownSection, Line: n, Section: name, Detail: "there is no such section", Allowed: settingNames("")})
	}
	return name, known
}

// scanKey parses the line of a key; it returns false if the line is rejected.
func (p *parser) scanKey(n int, section string, known bool, line string) bool {
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || key == "":
		p.add(&Problem{Kind: BadSyntax, Line: n, Section: section, Detail: "the line is not a key with an equals sign and a value", Allowed: "key = value, [section], # comment"})
		return false
	case section == "":
		p.add(&Problem{Kind: BadSyntax, Line: n, Key: key, Detail: "the key is outside of any section", Allowed: settingNames("")})
		return false
	case !known:
		// scanSection has reported the unknown section.
		return false
	}
	f, _ := lookup(section, key)
	if f == nil {
		p.add(&Problem{Kind: UnknownKey, Line: n, Section: section, Key: key, Detail: "there is no such key", Allowed: settingNames(section)})
		return false
	}
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") || strings.ContainsRune(value, '\x00') {
		p.add(&Problem{Kind: BadSyntax, Line: n, Section: section, Key: key, Detail: "multi-line values and NUL are not supported", Allowed: f.allowed})
		return false
	}
	if first, ok := p.lines[f]; ok {
		p.add(&Problem{Kind: DuplicateKey, Line: n, Section: section, Key: key, Detail: "the key is also set in line " + itoa(first), Allowed: "each key once"})
		return false
	}
	p.lines[f] = n
	return true
}
