// Package platform is a stand-in for the platform's metadata store. It speaks the published
// calls: records in topics, conditional appends, the newest record of each key; and it
// imitates retention, outages, slowness and answers that are lost after they took effect.
package platform

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"celerybank/internal/configlog"
)

// Bounds of the calls, as published.
const (
	maxWait      = 30 * time.Second
	maxCallBytes = 16 << 20
	readLimit    = 4096
	pageLimit    = 500
	frameBytes   = 4
)

// Serve answers the store's calls over log on l until ctx ends.
//
//	POST /control          body: configlog.Faults as JSON
//	GET  /control/stats    answer: configlog.Stats
func Serve(ctx context.Context, l net.Listener, log *configlog.Memory) error {
	s := &server{ctx: ctx, log: log, kept: map[string]*newest{}}
	app := fiber.New(fiber.Config{BodyLimit: maxCallBytes})
	app.Post("/api/log-append", s.append)
	app.Get("/api/log-read", s.read)
	app.Get("/api/log-newest", s.newest)
	app.Post("/control", func(c fiber.Ctx) error {
		var f configlog.Faults
		if err := json.Unmarshal(c.Body(), &f); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		if err := s.foldAll(f); err != nil {
			return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
		}
		log.SetFaults(f)
		return c.SendStatus(fiber.StatusNoContent)
	})
	app.Get("/control/stats", func(c fiber.Ctx) error { return c.JSON(log.Stats()) })
	stop := context.AfterFunc(ctx, func() { _ = app.ShutdownWithTimeout(time.Second) })
	defer stop()
	return app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

type server struct {
	ctx context.Context
	log *configlog.Memory

	mu sync.Mutex
	// kept has the newest records of keyed topics, which outlive the history.
	kept map[string]*newest
}

// newest is the newest record of each key of a topic, up to a position.
type newest struct {
	byKey map[string]item
	next  int64
}

// keyedPrefix begins the names of topics whose records have keys.
const keyedPrefix = "keyed."

// fold takes what is new in a keyed topic into the newest of each key.
func (s *server) fold(topic string) (*newest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.kept[topic]
	if n == nil {
		n = &newest{byKey: map[string]item{}, next: firstOffset}
		s.kept[topic] = n
	}
	page, err := s.log.Read(s.ctx, topic, n.next, int(^uint(0)>>1), 0)
	if err != nil {
		return nil, err
	}
	for _, e := range page.Entries {
		key, value, ok := splitKeyed(e.Data)
		switch {
		case !ok:
		case len(value) == 0:
			delete(n.byKey, key)
		default:
			n.byKey[key] = item{key, base64.StdEncoding.EncodeToString(value), e.Offset - firstOffset}
		}
	}
	n.next = page.Next
	return &newest{byKey: maps.Clone(n.byKey), next: n.next}, nil
}

// foldAll keeps the newest of all keyed topics before faults that drop history take effect.
func (s *server) foldAll(f configlog.Faults) error {
	if f.Retain == 0 {
		return nil
	}
	s.mu.Lock()
	topics := slices.Collect(maps.Keys(s.kept))
	s.mu.Unlock()
	for _, t := range topics {
		if _, err := s.fold(t); err != nil {
			return err
		}
	}
	return nil
}

// The log in memory counts from 1, the store's offsets from 0.
const firstOffset = 1

func topic(c fiber.Ctx) string { return strings.Clone(c.Query("topic")) }

func (s *server) append(c fiber.Ctx) error {
	var records [][]byte
	for body := c.Body(); len(body) > 0; {
		if len(body) < frameBytes || len(body)-frameBytes < int(binary.BigEndian.Uint32(body)) {
			return c.Status(fiber.StatusBadRequest).SendString("body ends within a record")
		}
		n := int(binary.BigEndian.Uint32(body))
		records, body = append(records, body[frameBytes:frameBytes+n]), body[frameBytes+n:]
	}
	at := int64(configlog.AnyOffset)
	if c.Query("at") != "" {
		at = fiber.Query[int64](c, "at") + firstOffset
	}
	name := topic(c)
	offset, err := s.log.AppendAll(s.ctx, name, at, records...)
	if strings.HasPrefix(name, keyedPrefix) {
		_, _ = s.fold(name) // an outage that began just now: the next call folds
	}
	switch {
	case errors.Is(err, configlog.ErrOffsetMismatch):
		return c.Status(fiber.StatusPreconditionFailed).JSON(fiber.Map{"end": offset - firstOffset})
	case err != nil:
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	return c.JSON(fiber.Map{"offset": offset - firstOffset, "end": offset - firstOffset + int64(len(records))})
}

func (s *server) read(c fiber.Ctx) error {
	from := fiber.Query[int64](c, "from", 0) + firstOffset
	wait := min(time.Duration(fiber.Query[int](c, "wait_ms", 0))*time.Millisecond, maxWait)
	page, err := s.log.Read(s.ctx, topic(c), from, readLimit, wait)
	if err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	if from < page.First {
		return c.Status(fiber.StatusGone).JSON(fiber.Map{"first": page.First - firstOffset})
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(page.Next-firstOffset))
	out = binary.BigEndian.AppendUint64(out, uint64(page.First-firstOffset))
	for _, e := range page.Entries {
		out = binary.BigEndian.AppendUint32(out, uint32(len(e.Data)))
		out = append(out, e.Data...)
	}
	return c.Send(out)
}

// item is the newest record of one key.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *server) newest(c fiber.Ctx) error {
	n, err := s.fold(topic(c))
	if err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	items := make([]item, 0, len(n.byKey))
	for _, i := range n.byKey {
		if i.Key > c.Query("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageLimit
	return c.JSON(fiber.Map{"items": items[:min(len(items), pageLimit)], "has_more": more, "end": n.next - firstOffset})
}

// splitKeyed splits a record of a keyed topic: the length of the key, the key, the value.
func splitKeyed(data []byte) (key string, value []byte, ok bool) {
	if len(data) == 0 || len(data) < 1+int(data[0]) {
		return "", nil, false
	}
	n := 1 + int(data[0])
	return string(data[1:n]), data[n:], true
}
