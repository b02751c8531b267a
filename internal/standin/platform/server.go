// Package platform is a stand-in for the platform's append-only store. It serves the store's
// HTTP API: topics of records, conditional appends and the newest record of each key. It
// simulates retention, outages, slow responses and responses that are lost after the request
// took effect.
package platform

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"celerybank/internal/configlog"
)

// Limits of the store's API. The length of a record precedes it, in lengthBytes bytes.
const (
	maxReadWait    = 30 * time.Second
	maxBodyBytes   = 16 << 20
	maxReadRecords = 4096
	maxPageItems   = 500
	lengthBytes    = 4
)

// Serve serves the store's API, backed by log, on l until ctx ends. Tests control it by:
//
//	POST /control          body: configlog.Faults as JSON
//	GET  /control/stats    response: configlog.Stats as JSON
//	POST /control/copy     keeps a copy of the content
//	POST /control/restore  restores the copy
func Serve(ctx context.Context, l net.Listener, log *configlog.Memory) error {
	s := &server{ctx: ctx, log: log, compacted: map[string]*compactedTopic{}}
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes})
	app.Use(s.nameEra)
	app.Post("/api/log-append", s.append)
	app.Get("/api/log-read", s.read)
	app.Get("/api/log-newest", s.newest)
	app.Post("/control", func(c fiber.Ctx) error {
		var f configlog.Faults
		if err := json.Unmarshal(c.Body(), &f); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		if err := s.compactAll(f); err != nil {
			return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
		}
		log.SetFaults(f)
		return c.SendStatus(fiber.StatusNoContent)
	})
	app.Post("/control/copy", func(c fiber.Ctx) error { s.copy(); return c.SendStatus(fiber.StatusNoContent) })
	app.Post("/control/restore", func(c fiber.Ctx) error { s.restore(); return c.SendStatus(fiber.StatusNoContent) })
	app.Get("/control/stats", func(c fiber.Ctx) error { return c.JSON(log.Stats()) })
	stop := context.AfterFunc(ctx, func() { _ = app.ShutdownWithTimeout(time.Second) })
	defer stop()
	return app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

type server struct {
	ctx context.Context
	log *configlog.Memory

	mu sync.Mutex
	// compacted maps a keyed topic to its newest records of the era, which retention does not drop.
	compacted map[string]*compactedTopic
	era       int64
	// kept is the copy that a restoration returns to: the log, and the newest records whose history is dropped.
	kept struct {
		log       configlog.Copy
		compacted map[string]*compactedTopic
	}
}

// copy keeps a copy of the content.
func (s *server) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept.log, s.kept.compacted = s.log.Copy(), cloneTopics(s.compacted)
}

// restore replaces the content by that of the copy.
func (s *server) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Restore(s.kept.log)
	s.era, s.compacted = s.log.Era(), cloneTopics(s.kept.compacted)
}

func cloneTopics(topics map[string]*compactedTopic) map[string]*compactedTopic {
	out := make(map[string]*compactedTopic, len(topics))
	for name, t := range topics {
		out[name] = &compactedTopic{byKey: maps.Clone(t.byKey), next: t.next}
	}
	return out
}

// nameEra adds the era to a response. A read during which the log was restored fails: what it found may be of either era.
func (s *server) nameEra(c fiber.Ctx) error {
	before := s.log.Era()
	err := c.Next()
	era := s.log.Era()
	c.Set("Store-Era", strconv.FormatInt(era, 10))
	if era != before && c.Method() == fiber.MethodGet {
		return c.Status(fiber.StatusServiceUnavailable).SendString("restored meanwhile")
	}
	return err
}

// compactedTopic has the newest record of each key of a topic, from all records before the
// offset next.
type compactedTopic struct {
	byKey map[string]item
	next  int64
}

// keyedPrefix is the prefix of the names of topics whose records have keys.
const keyedPrefix = "keyed."

// compact applies the new records of a keyed topic to the newest record of each key, and
// returns a copy of the result.
func (s *server) compact(topic string) (*compactedTopic, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era := s.log.Era(); era != s.era {
		s.era, s.compacted = era, map[string]*compactedTopic{}
	}
	t := s.compacted[topic]
	if t == nil {
		t = &compactedTopic{byKey: map[string]item{}, next: firstOffset}
		s.compacted[topic] = t
	}
	page, err := s.log.Read(s.ctx, topic, t.next, int(^uint(0)>>1), 0)
	if err != nil {
		return nil, err
	}
	for _, e := range page.Entries {
		t.apply(e.Data, e.Offset-firstOffset)
	}
	t.next = page.Next
	return &compactedTopic{byKey: maps.Clone(t.byKey), next: t.next}, nil
}

// apply makes a record the newest of its key, unless a newer one is known. A record with an empty value deletes its key.
func (t *compactedTopic) apply(record []byte, offset int64) {
	key, value, ok := splitKeyed(record)
	if !ok || t.byKey[key].Offset > offset {
		return
	}
	if len(value) == 0 {
		delete(t.byKey, key)
		return
	}
	t.byKey[key] = item{key, base64.StdEncoding.EncodeToString(value), offset}
}

// compactAppended applies records that were appended from an offset on. Retention may have dropped them from the log
// already.
func (s *server) compactAppended(topic string, records [][]byte, offset int64) {
	if _, err := s.compact(topic); err != nil {
		return // an outage began meanwhile; the next request compacts again
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.compacted[topic]; t != nil {
		for i, r := range records {
			t.apply(r, offset+int64(i))
		}
	}
}

// compactAll compacts all known keyed topics if f drops history, and must run before f takes
// effect.
func (s *server) compactAll(f configlog.Faults) error {
	if f.Retain == 0 {
		return nil
	}
	s.mu.Lock()
	topics := slices.Collect(maps.Keys(s.compacted))
	s.mu.Unlock()
	for _, name := range topics {
		if _, err := s.compact(name); err != nil {
			return err
		}
	}
	return nil
}

// firstOffset is the first offset of configlog.Memory; the store's own offsets count from 0.
const firstOffset = 1

func topic(c fiber.Ctx) string { return strings.Clone(c.Query("topic")) }

func (s *server) append(c fiber.Ctx) error {
	var records [][]byte
	for body := c.Body(); len(body) > 0; {
		if len(body) < lengthBytes || len(body)-lengthBytes < int(binary.BigEndian.Uint32(body)) {
			return c.Status(fiber.StatusBadRequest).SendString("body is truncated within a record")
		}
		n := int(binary.BigEndian.Uint32(body))
		records, body = append(records, body[lengthBytes:lengthBytes+n]), body[lengthBytes+n:]
	}
	at := int64(configlog.AnyOffset)
	if c.Query("at") != "" {
		at = fiber.Query[int64](c, "at") + firstOffset
	}
	name := topic(c)
	offset, err := s.log.AppendAll(s.ctx, name, at, records...)
	if strings.HasPrefix(name, keyedPrefix) {
		if err != nil {
			records = nil // what a lost response hides is in the log
		}
		s.compactAppended(name, records, offset-firstOffset)
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
	wait := min(time.Duration(fiber.Query[int](c, "wait_ms", 0))*time.Millisecond, maxReadWait)
	page, err := s.log.Read(s.ctx, topic(c), from, maxReadRecords, wait)
	if err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	if from < page.First || from > page.Next {
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

// item is the newest record of one key, as the API returns it: Value is base64.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *server) newest(c fiber.Ctx) error {
	t, err := s.compact(topic(c))
	if err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	items := make([]item, 0, len(t.byKey))
	for _, i := range t.byKey {
		if i.Key > c.Query("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > maxPageItems
	return c.JSON(fiber.Map{"items": items[:min(len(items), maxPageItems)], "has_more": more, "end": t.next - firstOffset})
}

// splitKeyed splits a record of a keyed topic: the length of the key in one byte, the key and
// the value. ok is false if the record is shorter than its key.
func splitKeyed(data []byte) (key string, value []byte, ok bool) {
	if len(data) == 0 || len(data) < 1+int(data[0]) {
		return "", nil, false
	}
	n := 1 + int(data[0])
	return string(data[1:n]), data[n:], true
}
