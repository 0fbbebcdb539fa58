package headlimit

import (
	"strconv"
	"strings"
)

// startBytes is how much of the start of a line a Scanner keeps: enough for the name of a header that frames a body,
// and a length.
const startBytes = 64

// unknownLength is the length of a body that the head does not state as one number.
const unknownLength = -1

// Scanner finds the end of a request head of HTTP/1, as net/http sees it, in bytes that arrive in parts, and
// counts the bytes and lines. The zero value is at the start of a head.
type Scanner struct {
	bytes, lines int64
	// line is the start of the present line, lineLength its length so far.
	line       [startBytes]byte
	lineLength int64
	length     int64
}

// Scan reads the next bytes of a head. It returns how many of them belong to the head, and whether it ends there.
func (s *Scanner) Scan(data []byte) (n int, ended bool) {
	for i, b := range data {
		s.bytes++
		if b != '\n' {
			if s.lineLength < startBytes {
				s.line[s.lineLength] = b
			}
			s.lineLength++
			continue
		}
		s.lines++
		if s.lineLength == 0 || s.lineLength == 1 && s.line[0] == '\r' {
			return i + 1, true
		}
		s.endLine()
		s.lineLength = 0
	}
	return len(data), false
}

// endLine looks for the length of the body in a line.
func (s *Scanner) endLine() {
	name, value, _ := strings.Cut(string(s.line[:min(s.lineLength, startBytes)]), ":")
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"), s.line[0] == ' ', s.line[0] == '\t':
		// A folded line may continue the length.
		s.length = unknownLength
	case strings.EqualFold(name, "Content-Length") && s.length == 0:
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err != nil || n < 0 || s.lineLength >= startBytes {
			n = unknownLength
		}
		s.length = n
	}
}

// BodyLength returns the length of the body that follows the head, and false when the head does not state it.
func (s *Scanner) BodyLength() (n int64, known bool) { return s.length, s.length != unknownLength }

// Started reports whether a byte of the head has been read.
func (s *Scanner) Started() bool { return s.bytes > 0 }

// Lines returns the number of lines of the head so far.
func (s *Scanner) Lines() int64 { return s.lines }

// Cost estimates the memory of the request so far.
func (s *Scanner) Cost() int64 {
	if s.bytes == 0 {
		return 0
	}
	return Cost(s.bytes, s.lines)
}
