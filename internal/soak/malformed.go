package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"

	"celerybank/platform/counterpart"
)

// malformedOneIn: one response in so many of an upstream that writes malformed responses is malformed.
const malformedOneIn = 4

// foreignBytes are bytes that no head of a response has but at the end of a line.
const foreignBytes = "\x00\x01\x0b\x1f\x7f\n"

// malformedHead returns response with one fault in its head: the status 000, a byte that no head has, or a blank in the name of a
// field.
func malformedHead(response []byte) []byte {
	out := bytes.Clone(response)
	end := bytes.Index(out, []byte("\r\n\r\n"))
	switch rand.IntN(3) {
	case 0:
		copy(out[len("HTTP/1.1 "):], "000")
	case 1:
		i, b := rand.IntN(end), foreignBytes[rand.IntN(len(foreignBytes))]
		if out[i] == b {
			b = foreignBytes[0]
		}
		out[i] = b
	default:
		lines := bytes.Split(out[:end], []byte("\r\n"))
		name, _, _ := bytes.Cut(lines[1+rand.IntN(len(lines)-1)], []byte(":")) // within out
		name[rand.IntN(len(name))] = ' '
	}
	return out
}

// writeMalformed writes a malformed response to the request with the given ID and closes the connection.
func writeMalformed(w http.ResponseWriter, id string, status int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(fmt.Sprint("connection of the server: ", err)) // those of HTTP/1 can be taken over
	}
	_, _ = conn.Write(malformedHead(counterpart.ResponseText(id, status, responseBody(id)))) // fails if the node has closed the connection
	_ = conn.Close()
}
