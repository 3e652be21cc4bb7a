package settings

import "strings"

// location identifies a key of a section, or the section itself by an empty key.
type location struct {
	section string
	key     string
}

// lineIndex maps sections and keys to their lines in the file, counted from 1.
type lineIndex map[location]int

func newLineIndex(content []byte) lineIndex {
	index := lineIndex{}
	section := ""
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			section = strings.Trim(line, "[] ")
			index[location{section: section}] = i + 1
			continue
		}
		key, _, _ := strings.Cut(line, "=")
		index[location{section: section, key: strings.TrimSpace(key)}] = i + 1
	}
	return index
}

// find returns the line of a key, or 0 when the file does not contain it.
func (l lineIndex) find(section, key string) int {
	return l[location{section: section, key: key}]
}
