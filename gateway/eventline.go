package gateway

import "bytes"

// isField reports whether a line begins with a field of that name.
func isField(line []byte, name string) bool {
	rest, found := bytes.CutPrefix(line, []byte(name))
	return found && len(rest) > 0 && bytes.IndexByte([]byte(":\r\n"), rest[0]) >= 0
}

// checkLine rejects a line without its end that a stream can't have. A line is empty, a comment,
// or a field, whose name consists of the characters of a token as those of header fields do.
// Other bytes are no part of a stream, such as a text or the head of another answer.
func checkLine(line []byte) error {
	for _, char := range line {
		if char == ':' {
			return nil
		}
		if !isTokenChar[char] {
			return &InvalidLineError{Begin: string(line[:min(len(line), maxLineBegin)])}
		}
	}
	return nil
}

// maxLineBegin bounds the bytes of a line that an error holds.
const maxLineBegin = 32

// tokenChars are the characters of a token (RFC 9110, section 5.6.2).
const tokenChars = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// isTokenChar is true for the characters of a token.
var isTokenChar = setOf(tokenChars)

func setOf(chars string) (set [256]bool) {
	for i := range len(chars) {
		set[chars[i]] = true
	}
	return set
}

// lineEnd is how the lines of a stream end. A runner ends all of them alike, so that another end
// shows bytes of another answer within a line, such as the status line of a head.
type lineEnd int

const (
	lineEndUnknown lineEnd = iota
	lineEndLF
	lineEndCRLF
)

// check fails if a complete line ends in another way than those before.
func (e *lineEnd) check(line []byte) error {
	end := lineEndLF
	if bytes.HasSuffix(line, []byte("\r\n")) {
		end = lineEndCRLF
	}
	if *e == lineEndUnknown {
		*e = end
	}
	if *e != end {
		return &LineEndError{}
	}
	return nil
}
