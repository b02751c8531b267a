package httpresponse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// ErrMalformed reports a response that deviates from the grammar of RFC 9112 and RFC 9110, or whose fields contradict each other
// about its body. What its sender meant is unknown, and so is where the next response on the connection begins.
var ErrMalformed = errors.New("malformed response")

// ErrHeadTooLarge reports a head or a trailer section that does not fit into the buffer of its reader.
var ErrHeadTooLarge = errors.New("head of a response exceeds the size limit")

// statusStart is the form of the beginning of a status line; x is the minor version, s the class of the status, d any digit.
const statusStart = "HTTP/1.x sdd"

// statusIndex is the position of the status in statusStart.
const statusIndex = len("HTTP/1.x ")

// state is what the scanner expects next.
type state uint8

const (
	inStatusStart state = iota
	afterStatus
	inReason
	afterCR // the LF that ends a line with content
	lineStart
	inName
	inValue
	beforeEnd // the LF of the empty line
	ended
)

// scanner checks the head of a response, or the trailer section of a body, one byte after the other. Lines end with CRLF only: a
// bare LF may be a corrupted byte, and RFC 9112, section 2.2, does not oblige a recipient to accept it. For the same reason folded
// lines and blanks around a name are errors (sections 5.1 and 5.2). The space between a status and an empty reason may be missing.
type scanner struct {
	state state
	// pos is the number of bytes that were checked.
	pos int
	// nameStart is the position of the current field name.
	nameStart int
	// status is the status code, http10 is set for a response of HTTP/1.0.
	status int
	http10 bool
	// hasLength and hasCoding are set by the fields Content-Length and Transfer-Encoding.
	hasLength, hasCoding bool
	// typeLines and encodingLines are the numbers of lines of the fields Content-Type and Content-Encoding.
	typeLines, encodingLines int
}

// scan checks the bytes of b from s.pos on, until the end of the section. b begins with the first byte of the section.
func (s *scanner) scan(b []byte) error {
	for ; s.pos < len(b) && s.state != ended; s.pos++ {
		if err := s.next(b, b[s.pos]); err != nil {
			return err
		}
	}
	return nil
}

// next checks c, which is the byte of b at s.pos.
func (s *scanner) next(b []byte, c byte) error {
	switch s.state {
	case inStatusStart:
		return s.statusByte(c)
	case afterStatus:
		if c == ' ' {
			s.state = inReason
			return nil
		}
		return s.lineEnd(c, "after the status")
	case inReason:
		if isText(c) {
			return nil
		}
		return s.lineEnd(c, "in the reason phrase")
	case afterCR:
		return s.expectLF(c, lineStart)
	case lineStart:
		if c == '\r' {
			s.state = beforeEnd
			return nil
		}
		s.state, s.nameStart = inName, s.pos
		return checkName(c)
	case inName:
		if c != ':' || s.pos == s.nameStart {
			return checkName(c)
		}
		s.state = inValue
		s.recordName(b[s.nameStart:s.pos])
		return nil
	case inValue:
		if isText(c) {
			return nil
		}
		return s.lineEnd(c, "in a field value")
	default:
		return s.expectLF(c, ended)
	}
}

// statusByte checks a byte of the version or the status.
func (s *scanner) statusByte(c byte) error {
	ok := false
	switch want := statusStart[s.pos]; want {
	case 'x':
		ok = c == '0' || c == '1'
		s.http10 = c == '0'
	case 's':
		ok = c >= '1' && c <= '5'
	case 'd':
		ok = c >= '0' && c <= '9'
	default:
		ok = c == want
	}
	if !ok {
		return errors.Wrapf(ErrMalformed, "byte %#02x at position %d of the status line", c, s.pos)
	}
	if s.pos >= statusIndex {
		s.status = 10*s.status + int(c-'0')
	}
	if s.pos == len(statusStart)-1 {
		s.state = afterStatus
	}
	return nil
}

// lineEnd expects the CR of a line end.
func (s *scanner) lineEnd(c byte, place string) error {
	if c != '\r' {
		return errors.Wrapf(ErrMalformed, "byte %#02x %s", c, place)
	}
	s.state = afterCR
	return nil
}

// expectLF expects the LF of a line end; next is the state after it.
func (s *scanner) expectLF(c byte, next state) error {
	if c != '\n' {
		return errors.Wrapf(ErrMalformed, "byte %#02x after CR", c)
	}
	s.state = next
	return nil
}

// recordName notes the fields that say where the body ends and how to read it.
func (s *scanner) recordName(name []byte) {
	switch {
	case bytes.EqualFold(name, contentLength):
		s.hasLength = true
	case bytes.EqualFold(name, transferEncoding):
		s.hasCoding = true
	case bytes.EqualFold(name, contentType):
		s.typeLines++
	case bytes.EqualFold(name, contentEncoding):
		s.encodingLines++
	}
}

// Names of the fields that say where the body ends and how to read it.
var (
	contentLength    = []byte(fasthttp.HeaderContentLength)
	transferEncoding = []byte(fasthttp.HeaderTransferEncoding)
	contentType      = []byte(fasthttp.HeaderContentType)
	contentEncoding  = []byte(fasthttp.HeaderContentEncoding)
)

// checkName returns an error unless c may be part of a field name (RFC 9110, section 5.6.2).
func checkName(c byte) error {
	if classes[c]&tokenByte == 0 {
		return errors.Wrapf(ErrMalformed, "byte %#02x in a field name", c)
	}
	return nil
}

// isText reports whether c may be part of a field value or a reason phrase (RFC 9110, section 5.5).
func isText(c byte) bool { return classes[c]&textByte != 0 }

// Classes of bytes.
const (
	tokenByte = 1 << iota
	textByte
)

// classes has the classes of each byte.
var classes = func() (out [256]uint8) {
	for c := range out {
		if c == '\t' || (c >= ' ' && c != 0x7f) {
			out[c] = textByte
		}
	}
	for _, c := range "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" {
		out[c] |= tokenByte
	}
	return out
}()

// peekSection waits until r has buffered a whole section and checks it with s, without reading it. It returns the length of the
// section in bytes, and an error as soon as a byte is wrong.
func peekSection(r *bufio.Reader, s *scanner) (int, error) {
	for s.state != ended {
		if _, err := r.Peek(s.pos + 1); err != nil {
			return 0, sectionError(err, s.pos)
		}
		b, _ := r.Peek(r.Buffered()) // cannot fail: the bytes are buffered
		if err := s.scan(b); err != nil {
			return 0, err
		}
	}
	return s.pos, nil
}

// sectionError converts an error of reading a section of which n bytes have arrived.
func sectionError(err error, n int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrHeadTooLarge
	case errors.Is(err, io.EOF) && n > 0:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}
