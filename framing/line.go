package framing

import (
	"bytes"
	"strconv"
)

// prefixBytes is the size of the begin of a line that is kept. Lines that tell the framing are shorter,
// unless they hold white space without need.
const prefixBytes = 64

// prefix holds the begin of a line that arrives in parts.
type prefix struct {
	content [prefixBytes]byte
	size    int
	// isCut is true if the line is longer.
	isCut bool
}

// add adds the next bytes of the line.
func (p *prefix) add(content []byte) {
	count := copy(p.content[p.size:], content)
	p.size += count
	p.isCut = p.isCut || count < len(content)
}

// take adds the rest of the line and returns it, until the next call. The next line begins.
func (p *prefix) take(content []byte) line {
	if p.size == 0 && len(content) <= prefixBytes {
		return newLine(content)
	}
	p.add(content)
	whole, isCut := p.content[:p.size], p.isCut
	p.size, p.isCut = 0, false
	if isCut {
		return line{text: whole, isCut: true}
	}
	return newLine(whole)
}

// line is a line without its end, or the begin of a long one.
type line struct {
	text []byte
	// isCut is true if the line is longer.
	isCut bool
}

// newLine returns a line that has its end.
func newLine(content []byte) line {
	text := content[:len(content)-1]
	if len(text) > 0 && text[len(text)-1] == '\r' {
		text = text[:len(text)-1]
	}
	return line{text: text}
}

func (l line) isEmpty() bool { return len(l.text) == 0 }

// isContinued reports whether the line belongs to the header line before it.
func (l line) isContinued() bool { return l.text[0] == ' ' || l.text[0] == '\t' }

// value returns the value of a header line with the lower-case name.
func (l line) value(name string) (value []byte, found bool) {
	text := l.text
	if len(text) <= len(name) || text[len(name)] != ':' || !bytes.EqualFold(text[:len(name)], []byte(name)) {
		return nil, false
	}
	return bytes.Trim(text[len(name)+1:], " \t"), true
}

// The bases of the numbers that give sizes, and the bits that they may have: a size with the end of a
// chunk is no more than a uint64 holds.
const (
	lengthBase = 10
	chunkBase  = 16
	sizeBits   = 63
)

// chunkSize returns the size of the chunk that the line begins.
func (l line) chunkSize() (size uint64, isValid bool) {
	digits, _, hasExtension := bytes.Cut(l.text, []byte(";"))
	if l.isCut && !hasExtension {
		return 0, false
	}
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), chunkBase, sizeBits)
	return size, err == nil
}

// bodyFraming is what the lines of a header section tell of the end of the body.
type bodyFraming struct {
	length    uint64
	isChunked bool
	// isUnknown is true if the lines tell it in a way that is not followed.
	isUnknown bool
	// lastTells is true if the line before told something, which the next one may continue.
	lastTells bool
}

// add adds the line with a number, of which 1 is the request line.
func (f *bodyFraming) add(line line, number int) {
	if number == 1 {
		return
	}
	if line.isContinued() {
		f.isUnknown = f.isUnknown || f.lastTells
		return
	}
	f.lastTells = false
	switch line.text[0] {
	case 'c', 'C':
		if value, found := line.value("content-length"); found {
			f.lastTells = true
			f.addLength(value, line.isCut)
		}
	case 't', 'T':
		if value, found := line.value("transfer-encoding"); found {
			f.lastTells = true
			f.isUnknown = f.isUnknown || line.isCut || f.isChunked || !bytes.EqualFold(value, []byte("chunked"))
			f.isChunked = true
		}
	}
}

func (f *bodyFraming) addLength(value []byte, isCut bool) {
	length, err := strconv.ParseUint(string(value), lengthBase, sizeBits)
	f.isUnknown = f.isUnknown || isCut || err != nil
	f.length = length
}
