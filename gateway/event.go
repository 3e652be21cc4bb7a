package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// event is one complete server-sent event.
type event struct {
	// content is the event as received, with the empty line that ends it. Comments and
	// other lines without an event that precede it are part of it.
	content []byte
	// id is the event's ID, if hasID. Without a number, an event has none.
	id    int
	hasID bool
	// isRest is true for lines without an event at the end of the stream. hasFields is true if
	// some lines are neither empty nor comments.
	isRest, hasFields bool
}

// eventSource is a stream whose buffered bytes are counted.
type eventSource interface {
	io.Reader
	// ResizeBuffer sets the number of bytes that are buffered. An error means that they
	// are too many.
	ResizeBuffer(bytes int) error
}

// eventReader splits a stream into events.
type eventReader struct {
	source eventSource
	reader *bufio.Reader
	// lineEnd is how the lines of the stream end.
	lineEnd lineEnd
}

const (
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxBytesBeforeEvent bounds the bytes between two events, such as comments.
	maxBytesBeforeEvent = 64 << 10
)

func newEventReader(source eventSource) *eventReader {
	return &eventReader{source: source, reader: bufio.NewReaderSize(source, eventBufferBytes)}
}

// eventParser collects the lines of one event.
type eventParser struct {
	event
	// hasData is true once a line with data or an ID has begun.
	hasData bool
	// lineStart is where the current line begins in the content.
	lineStart int
	// isOpen is true if the last complete line was not empty.
	isOpen bool
}

// next returns the next complete event. Bytes without an event, such as comments, are no
// event of their own, since they are no sign that the runner works on the request; they are
// returned with the event that follows, or with the end of the stream. next fails with
// io.EOF when the stream ends between two events, with io.ErrUnexpectedEOF when it ends within
// one, and with an *InvalidLineError or a *LineEndError when bytes are no part of a stream.
func (r *eventReader) next() (event, error) {
	var p eventParser
	for {
		part, err := r.reader.ReadSlice('\n')
		p.add(part)
		if failure := r.checkSize(&p); failure != nil {
			return event{}, failure
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && p.isBetweenEvents():
			return p.rest()
		case err == io.EOF:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		if failure := r.lineEnd.check(p.content); failure != nil {
			return event{}, failure
		}
		if isComplete, failure := p.endLine(); failure != nil || isComplete {
			return p.event, failure
		}
	}
}

// checkSize fails when an event, or what precedes it, is too large, or when the source holds
// too many bytes.
func (r *eventReader) checkSize(p *eventParser) error {
	if err := r.source.ResizeBuffer(cap(p.content)); err != nil {
		return err
	}
	if len(p.content) > maxEventBytes {
		return &EventTooLargeError{Bytes: maxEventBytes}
	}
	if !p.hasData && len(p.content) > maxBytesBeforeEvent {
		return &NoEventError{Bytes: maxBytesBeforeEvent}
	}
	return nil
}

// add appends a part of the current line.
func (p *eventParser) add(part []byte) {
	if len(p.content) == p.lineStart && (isField(part, "data") || isField(part, "id")) {
		p.hasData = true
	}
	p.content = append(p.content, part...)
}

// endLine evaluates the current line, which is complete. It returns true when the line ends
// the event. It fails if the line can't belong to a stream.
func (p *eventParser) endLine() (isComplete bool, err error) {
	line := bytes.TrimRight(p.content[p.lineStart:], "\r\n")
	p.lineStart = len(p.content)
	p.isOpen = len(line) > 0
	if !p.isOpen {
		return p.hasData, nil
	}
	if err := checkLine(line); err != nil {
		return false, err
	}
	p.hasFields = p.hasFields || line[0] != ':'
	if value, found := bytes.CutPrefix(line, []byte("id:")); found {
		id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		p.id, p.hasID = id, err == nil
	}
	return false, nil
}

// isBetweenEvents reports whether the content holds no part of an event and ends with an
// empty line.
func (p *eventParser) isBetweenEvents() bool {
	return !p.hasData && !p.isOpen && p.lineStart == len(p.content)
}

// rest returns the lines that follow the last event of the stream.
func (p *eventParser) rest() (event, error) {
	if len(p.content) == 0 {
		return event{}, io.EOF
	}
	p.isRest = true
	return p.event, nil
}
