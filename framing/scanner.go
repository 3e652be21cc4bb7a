// Package framing follows the requests in the bytes of an HTTP/1.1 connection: where header sections,
// bodies and chunks end. It keeps no bytes of them and performs no I/O. What it finds only serves to
// count and to divide the bytes; they are parsed elsewhere.
package framing

import "bytes"

// state is the part of a request that the next byte belongs to.
type state int

const (
	// beforeRequest means that only empty lines have come since the last request.
	beforeRequest state = iota
	inSection
	inBody
	inChunkSize
	inChunk
	inTrailers
	// ended means that the next byte begins another request.
	ended
	// lost means that the end of the request is not known.
	lost
)

// Section is what has come of the header section of a request, with the empty lines before it.
type Section struct {
	// EmptyBytes is the size of the empty lines before the request.
	EmptyBytes int
	// Bytes is the size of the request line and the header lines, Lines the number of those that are
	// complete.
	Bytes, Lines int
	// IsWhole is true once the empty line at the end has come.
	IsWhole bool
}

// Scanner follows the bytes of a connection. The zero value awaits a first request.
type Scanner struct {
	state   state
	section Section
	// line holds the first bytes of the current line, as far as it came with earlier calls of Scan.
	line prefix
	body bodyFraming
	// remaining is the number of bytes up to the end of the body or of the chunk.
	remaining uint64
}

// Section returns what has come of the current header section.
func (s *Scanner) Section() Section { return s.section }

// IsInSection reports whether the next byte belongs to a header section.
func (s *Scanner) IsInSection() bool {
	return s.state == beforeRequest || s.state == inSection || s.state == ended
}

// Lose ends the following of the current request. Until Restart, nothing is counted.
func (s *Scanner) Lose() { s.state = lost }

// Restart tells that a request has ended, unless that is known.
func (s *Scanner) Restart() {
	if !s.IsInSection() {
		*s = Scanner{}
	}
}

// SkipEmptyLines returns how many of the next bytes belong to empty lines before a request. They must
// not be passed to Scan.
func (s *Scanner) SkipEmptyLines(content []byte) int {
	if s.state == ended {
		*s = Scanner{}
	}
	if s.state != beforeRequest {
		return 0
	}
	count := len(content) - len(bytes.TrimLeft(content, "\r\n"))
	s.section.EmptyBytes += count
	return count
}

// Scan follows the next bytes. It returns how many of them belong to the current request; the others
// begin the next one.
func (s *Scanner) Scan(content []byte) int {
	count := 0
	for count < len(content) && s.state != lost {
		count += s.scanPart(content[count:])
		if s.state == ended {
			return count
		}
	}
	return len(content)
}

// scanPart follows the next bytes up to the end of a line, of a chunk or of a body, and returns how many
// those are.
func (s *Scanner) scanPart(content []byte) int {
	switch s.state {
	case ended:
		*s = Scanner{state: inSection}
	case beforeRequest:
		s.state = inSection
	case inBody, inChunk:
		return s.skip(content)
	}
	end := bytes.IndexByte(content, '\n') + 1
	if end == 0 {
		s.line.add(content)
		s.countSection(len(content), 0)
		return len(content)
	}
	s.countSection(end, 1)
	line := s.line.take(content[:end])
	s.endLine(line)
	return end
}

// countSection counts bytes and lines that belong to a header section.
func (s *Scanner) countSection(byteCount, lineCount int) {
	if s.state == inSection {
		s.section.Bytes += byteCount
		s.section.Lines += lineCount
	}
}

// endLine is called with each line that ends.
func (s *Scanner) endLine(line line) {
	switch s.state {
	case inSection:
		s.endSectionLine(line)
	case inChunkSize:
		s.beginChunk(line)
	case inTrailers:
		if line.isEmpty() {
			s.state = ended
		}
	}
}

func (s *Scanner) endSectionLine(line line) {
	if !line.isEmpty() {
		s.body.add(line, s.section.Lines)
		return
	}
	s.section.IsWhole = true
	switch {
	case s.body.isUnknown:
		s.state = lost
	case s.body.isChunked:
		s.state = inChunkSize
	case s.body.length > 0:
		s.state, s.remaining = inBody, s.body.length
	default:
		s.state = ended
	}
}

// chunkEndBytes is the size of the line end behind the content of a chunk.
const chunkEndBytes = 2

// beginChunk is called with the line that gives the size of a chunk.
func (s *Scanner) beginChunk(line line) {
	size, isValid := line.chunkSize()
	switch {
	case !isValid:
		s.state = lost
	case size == 0:
		s.state = inTrailers
	default:
		s.state, s.remaining = inChunk, size+chunkEndBytes
	}
}

// skip follows bytes of a body or of a chunk.
func (s *Scanner) skip(content []byte) int {
	count := len(content)
	if uint64(count) >= s.remaining {
		count = int(s.remaining)
	}
	s.remaining -= uint64(count)
	switch {
	case s.remaining > 0:
	case s.state == inChunk:
		s.state = inChunkSize
	default:
		s.state = ended
	}
	return count
}
