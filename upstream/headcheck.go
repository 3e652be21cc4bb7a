package upstream

import "bytes"

// checkHead fails if a head is none that a sound runner sends, although it has an end.
func checkHead(head []byte) error {
	statusLine, fields, _ := bytes.Cut(head, []byte("\n"))
	// The status line of the answer itself begins at the first byte.
	if containsStatusLine(statusLine[1:]) {
		return &SecondHeadError{Line: string(statusLine)}
	}
	mayBeCoded := !bytes.HasPrefix(head, []byte(oldProtocol))
	for line := range bytes.Lines(fields) {
		if err := checkField(line); err != nil {
			return err
		}
		if !mayBeCoded && isTransferCoding(line) {
			return &TransferCodingError{}
		}
	}
	return nil
}

// oldProtocol has no transfer codings. The parser ignores the field there, so that the body
// would be taken as it is sent.
const oldProtocol = "HTTP/1.0"

// isTransferCoding reports whether a line is the field with the transfer coding.
func isTransferCoding(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return bytes.EqualFold(name, []byte("Transfer-Encoding"))
}

// checkField checks a line after the status line.
func checkField(line []byte) error {
	if containsStatusLine(line) {
		return &SecondHeadError{Line: string(line)}
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if found && !isContinuation(line) && bytes.ContainsAny(name, " \t") {
		return &FieldNameError{Name: string(name)}
	}
	return nil
}

// isContinuation reports whether a line goes on with the field before.
func isContinuation(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// containsStatusLine reports whether another answer begins within a line. A head that breaks off
// within a line swallows the status line of an answer that follows at once.
func containsStatusLine(line []byte) bool {
	for {
		_, rest, found := bytes.Cut(line, []byte(protocolName))
		if !found {
			return false
		}
		if isVersionAndStatus(rest) {
			return true
		}
		line = rest
	}
}

// isVersionAndStatus reports whether bytes begin with what follows protocolName in a status
// line: the minor version, a space, and a status of three digits.
func isVersionAndStatus(content []byte) bool {
	const pattern = "0 000"
	if len(content) < len(pattern) {
		return false
	}
	for i := range len(pattern) {
		if pattern[i] == '0' && !isDigit(content[i]) || pattern[i] != '0' && content[i] != pattern[i] {
			return false
		}
	}
	return len(content) == len(pattern) || bytes.IndexByte([]byte(" \r\n"), content[len(pattern)]) >= 0
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
