package upstream

import "bytes"

// checkHead fails if a head is none that a sound runner sends, although it has an end.
func checkHead(head []byte) error {
	// The status line of the answer itself begins at the first byte.
	if second := findStatusLine(head[1:]); second != nil {
		return &SecondHeadError{StatusLine: string(second)}
	}
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	mayBeCoded := !bytes.HasPrefix(head, []byte(oldProtocol))
	for line := range bytes.Lines(fields) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || isContinuation(line) {
			continue
		}
		if bytes.ContainsAny(name, " \t") {
			return &FieldNameError{Name: string(name)}
		}
		if !mayBeCoded && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return &TransferCodingError{}
		}
	}
	return nil
}

// oldProtocol has no transfer codings. The parser ignores the field there, so that the body
// would be taken as it is sent.
const oldProtocol = "HTTP/1.0"

// isContinuation reports whether a line goes on with the field before.
func isContinuation(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// findStatusLine returns the protocol and the status of another answer that begins within a head,
// or nil. A head that breaks off within a line swallows the status line of an answer that follows
// at once.
func findStatusLine(content []byte) []byte {
	for {
		begin := bytes.Index(content, []byte(protocolName))
		if begin < 0 {
			return nil
		}
		content = content[begin:]
		if isStatusLine(content) {
			return content[:len(statusLinePattern)]
		}
		content = content[len(protocolName):]
	}
}

// statusLinePattern is the begin of a status line, with zeros for digits.
const statusLinePattern = protocolName + "0 000"

// isStatusLine reports whether content that begins with protocolName begins with a status line.
func isStatusLine(content []byte) bool {
	if len(content) <= len(statusLinePattern) {
		return false
	}
	for i := len(protocolName); i < len(statusLinePattern); i++ {
		expected := statusLinePattern[i]
		if expected == '0' && !isDigit(content[i]) || expected != '0' && content[i] != expected {
			return false
		}
	}
	return bytes.IndexByte([]byte(" \r\n"), content[len(statusLinePattern)]) >= 0
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
