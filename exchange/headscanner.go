package exchange

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// errMalformedHead means that the head of a response has a line that is no header field, or one that its
// version of HTTP does not allow.
var errMalformedHead = errors.New("the head of the response is malformed")

// headPosition is a position in the head of a response.
type headPosition int

const (
	// inVersion is in the status line, before the blank in front of the status.
	inVersion headPosition = iota
	// beforeStatus is behind that blank.
	beforeStatus
	atLineStart
	inName
	// inRest is behind what decides about a line.
	inRest
	// atHeadEnd is behind the carriage return of the empty line that ends a head.
	atHeadEnd
	// inBody is behind the head of the final response.
	inBody
	// atMalformed is at a byte that may not stand where it does.
	atMalformed
)

// headScanner finds malformed header fields in the responses to one request. http.Transport takes a field
// whose name holds a blank for one with an odd name, so a misspelt length or transfer coding has no effect on
// how it reads the body, and joins a line that begins with a blank to the one before. What else is wrong with a
// head, http.Transport finds itself.
//
// The zero value is at the start of the first response.
type headScanner struct {
	position headPosition
	// interim is set in the head of an informational response, behind which another head follows.
	interim bool
	// matched is the number of bytes in which the current name agrees with codingName, or noMatch.
	matched int
	// coded is set once the current head has a field codingName.
	coded bool
}

// codingName is the name, in lower case, of the field that says how a body is framed.
const codingName = "transfer-encoding"

const noMatch = -1

// isMalformed reports whether a byte was found that may not stand where it does.
func (s *headScanner) isMalformed() bool { return s.position == atMalformed }

// scan reads the next bytes of a connection. It returns the number of bytes before the first one that may not
// stand where it does, and errMalformedHead if there is one.
func (s *headScanner) scan(p []byte) (int, error) {
	for i := 0; i < len(p); i++ {
		switch s.position {
		case inBody:
			return len(p), nil
		case atMalformed:
			return i, errMalformedHead
		case inRest:
			newline := bytes.IndexByte(p[i:], '\n')
			if newline < 0 {
				return len(p), nil
			}
			i += newline
			s.position = atLineStart
		default:
			if !s.step(p[i]) {
				s.position = atMalformed
				return i, errMalformedHead
			}
		}
	}
	return len(p), nil
}

// step reads one byte and reports whether it may stand where it does.
func (s *headScanner) step(b byte) bool {
	switch s.position {
	case inVersion:
		s.stepVersion(b)
	case beforeStatus:
		s.stepStatus(b)
	case atLineStart:
		return s.stepLineStart(b)
	case inName:
		return s.stepName(b)
	case atHeadEnd:
		s.endHead()
		return b == '\n'
	}
	return true
}

func (s *headScanner) stepVersion(b byte) {
	switch b {
	case ' ':
		s.position = beforeStatus
	case '\n':
		s.position = atLineStart
	}
}

// stepStatus reads the first digit of the status, which tells an informational response.
func (s *headScanner) stepStatus(b byte) {
	switch b {
	case ' ':
	case '\n':
		s.position = atLineStart
	default:
		s.interim = b == '1'
		s.position = inRest
	}
}

func (s *headScanner) stepLineStart(b byte) bool {
	switch b {
	case '\n':
		s.endHead()
		return true
	case '\r':
		s.position = atHeadEnd
		return true
	}
	s.position, s.matched = inName, 0
	// A blank, which no name holds, would make the line continue the one before, such as that of a signature.
	return b != ':' && s.stepName(b)
}

func (s *headScanner) stepName(b byte) bool {
	if b == ':' {
		s.coded = s.coded || s.matched == len(codingName)
		s.position = inRest
		return true
	}
	if s.matched != noMatch && s.matched < len(codingName) && lower(b) == codingName[s.matched] {
		s.matched++
	} else {
		s.matched = noMatch
	}
	return isNameByte(b)
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// isNameByte reports whether the name of a field may hold the byte.
func isNameByte(b byte) bool { return httpguts.IsTokenRune(rune(b)) }

func (s *headScanner) endHead() {
	if s.interim {
		*s = headScanner{}
		return
	}
	s.position = inBody
}
