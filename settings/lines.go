package settings

import "strings"

// place is a section and a key, or a section alone with an empty key.
type place struct {
	section string
	key     string
}

// lineIndex tells on which line of a file a key stands. Lines count from 1.
type lineIndex map[place]int

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
			index[place{section: section}] = i + 1
			continue
		}
		key, _, _ := strings.Cut(line, "=")
		index[place{section: section, key: strings.TrimSpace(key)}] = i + 1
	}
	return index
}

// find returns 0 when the file does not have the key.
func (l lineIndex) find(section, key string) int {
	return l[place{section: section, key: key}]
}
