package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Schedule of the case.
const (
	spoiledShare = 0.05 // of the answers have a wrong byte in their status line
	pairs        = 200  // of pipelined requests are sent
	readTimeout  = 2 * time.Second
)

// wrongStatus shows that a node passes on an answer whose status line was spoiled to 101: to the requester it is an interim
// answer, so that it takes the answer to the next request on the connection for that to the first.
func wrongStatus(program string, trouble bool, rec *record) (int, error) {
	c, err := newCluster(program, "listino", "listino")
	if err != nil {
		return 0, err
	}
	defer c.close()
	c.store.put(topicOperator, "config", config(1, "shop.example", []route{{"/list/", "safe", "listino", 3}}, []string{"listino"}))
	if err := c.startNodes(); err != nil {
		return 0, err
	}
	runs := &ledger{}
	for i, m := range c.machines {
		b := newBackend(m, fmt.Sprint("i-", i), 5*time.Millisecond, runs, rec)
		b.spoils = func() bool { return trouble && rand.Float64() < spoiledShare }
		if err := b.start(); err != nil {
			return 0, err
		}
	}
	time.Sleep(contact + 3*time.Second)
	foreign, spoiled := 0, 0
	for n := range pairs {
		f, s := askPair(rec, c.machines[n%len(c.machines)], n)
		foreign += f
		spoiled += s
	}
	rec.note("%d of %d requests got an interim answer of status 101, and %d took the answer to another request for theirs; allowed: 0",
		spoiled, 2*pairs, foreign)
	if spoiled+foreign > 0 {
		return broken, nil
	}
	return held, nil
}

// askPair sends two pipelined safe requests on one connection and reads the answers in their order. It returns how many of
// them belong to another request, and how many interim answers came that no request had asked for.
func askPair(rec *record, m *machine, n int) (foreign, spoiled int) {
	conn, err := net.DialTimeout("tcp", m.addr(callersPort), time.Second)
	if err != nil {
		rec.add("pair %d: %v", n, err)
		return 0, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(readTimeout))
	ids := []string{fmt.Sprintf("list-%04d-a", n), fmt.Sprintf("list-%04d-b", n)}
	for _, id := range ids {
		fmt.Fprintf(conn, "GET /list/%s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: 2000\r\n\r\n", id, id)
		rec.add("sent  %s to %s", id, m.name)
	}
	r := bufio.NewReader(conn)
	for _, id := range ids {
		status, got, err := readFinal(r, func(status int) {
			spoiled++
			rec.add("interim answer of status %d where %s waits", status, id)
		})
		rec.add("answered %s: status %d, id %s, error %v", id, status, got, err)
		if err != nil {
			return foreign, spoiled
		}
		if got != id {
			foreign++
		}
	}
	return foreign, spoiled
}

// readFinal reads one final answer and passes over interim ones, as RFC 9110, section 15.2, asks of clients.
func readFinal(r *bufio.Reader, interim func(status int)) (status int, id string, err error) {
	for {
		head := textproto.NewReader(r)
		line, err := head.ReadLine()
		if err != nil {
			return 0, "", err
		}
		fields := strings.Fields(line)
		if len(fields) < 2 {
			return 0, "", fmt.Errorf("status line %q", line)
		}
		if status, err = strconv.Atoi(fields[1]); err != nil {
			return 0, "", err
		}
		header, err := head.ReadMIMEHeader()
		if err != nil {
			return 0, "", err
		}
		if status/100 == 1 {
			interim(status)
			continue
		}
		length, err := strconv.Atoi(header.Get("Content-Length"))
		if err != nil {
			return 0, "", err
		}
		_, err = io.CopyN(io.Discard, r, int64(length))
		return status, http.Header(header).Get("X-Request-Id"), err
	}
}
