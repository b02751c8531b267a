// Package httpresponse reads HTTP/1.1 responses strictly. The HTTP library that parses them is lenient, so each head and each trailer
// section is checked against the grammar of RFC 9112 and RFC 9110 first: a response that deviates from it is an error, never a
// guess at what its sender meant.
package httpresponse

import (
	"bufio"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// maxInterim is the maximum number of interim responses before a final one.
const maxInterim = 100

// chunked is the content length by which the HTTP library denotes a body in chunks.
const chunked = -1

// Read reads one final response from r and drops the interim ones before it. head is set for the response to a HEAD request,
// which has no body. maxBody is the maximum size of the body in bytes, or 0. Errors that are not ErrMalformed, ErrHeadTooLarge
// or fasthttp.ErrBodyTooLarge come from the connection or the coding of the body.
func Read(r *bufio.Reader, resp *fasthttp.Response, head bool, maxBody int) error {
	return ReadReserved(r, resp, head, maxBody, func(int) error { return nil })
}

// ReadReserved is Read with a function that is called with the length of a body before memory is allocated for it, or with a negative
// number if the head does not give the length. An error of reserve ends the reading.
func ReadReserved(r *bufio.Reader, resp *fasthttp.Response, head bool, maxBody int, reserve func(n int) error) error {
	resp.Reset()
	resp.Header.SetNoDefaultContentType(true) // the library would add a field that the upstream has not sent
	for range 1 + maxInterim {
		status, err := readHead(r, &resp.Header)
		switch {
		case err != nil:
			return err
		case status == fasthttp.StatusSwitchingProtocols:
			return errors.Wrap(ErrMalformed, "switch of protocols that no request asked for")
		case status < fasthttp.StatusOK: // interim: the response follows
			continue
		case head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
			return nil
		}
		if err := reserveBody(resp, maxBody, reserve); err != nil {
			return err
		}
		if err := resp.ReadBody(r, maxBody); err != nil {
			return err
		}
		if resp.Header.ContentLength() == chunked {
			return dropTrailer(r)
		}
		return nil
	}
	return errors.Wrapf(ErrMalformed, "more than %d interim responses", maxInterim)
}

// exactBody is the size in bytes from which a body gets a buffer of its size. The library would round it up to a power of two.
const exactBody = 16 << 10

// reserveBody calls reserve for the body that follows the head, unless it is refused for its length.
func reserveBody(resp *fasthttp.Response, maxBody int, reserve func(n int) error) error {
	n := resp.Header.ContentLength()
	if maxBody > 0 && n > maxBody {
		return nil // the library reports it
	}
	if err := reserve(n); err != nil {
		return err
	}
	if n >= exactBody && maxBody > 0 {
		_ = resp.SwapBody(make([]byte, 0, n))
	}
	return nil
}

// dropTrailer checks and drops the trailer section of a body in chunks. Its fields must not be merged into those of the head, whose
// meaning they could change (RFC 9110, section 6.5.1), as the library would do.
func dropTrailer(r *bufio.Reader) error {
	n, err := peekSection(r, &scanner{state: lineStart})
	if err != nil {
		return err
	}
	_, err = r.Discard(n)
	return err
}

// readHead reads the head of one response and returns its status.
func readHead(r *bufio.Reader, h *fasthttp.ResponseHeader) (int, error) {
	var s scanner
	if _, err := peekSection(r, &s); err != nil {
		return 0, err
	}
	// The whole head is buffered, so that this error does not come from the connection.
	if err := h.Read(r); err != nil {
		return 0, errors.Wrapf(ErrMalformed, "%.200s", err)
	}
	return s.status, checkFraming(&s, h)
}

// checkFraming returns an error if the fields of a head contradict each other or its status about the body (RFC 9112, sections 6.1
// and 6.3; RFC 9110, section 8.6). The library refuses several lengths, several codings, and those that it does not know.
func checkFraming(s *scanner, h *fasthttp.ResponseHeader) error {
	bodiless := s.status < fasthttp.StatusOK || s.status == fasthttp.StatusNoContent
	switch {
	case s.hasCoding && s.hasLength:
		return errors.Wrap(ErrMalformed, "a length beside a transfer coding")
	case s.hasCoding && s.http10:
		return errors.Wrap(ErrMalformed, "a transfer coding in HTTP/1.0")
	case s.typeLines > 1 || s.encodingLines > 1:
		// The library keeps only the last line, so that the response could not be passed on as it was written.
		return errors.Wrap(ErrMalformed, "several types or encodings of the body")
	case bodiless && (s.hasCoding || h.ContentLength() > 0):
		return errors.Wrapf(ErrMalformed, "a body with status %d", s.status)
	}
	return nil
}
