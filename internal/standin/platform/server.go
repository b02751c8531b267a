// Package platform is a stand-in for the platform's metadata store. It speaks the published
// calls: records in topics, conditional appends, the newest record of each key; and it
// imitates retention, outages, slowness and answers that are lost after they took effect.
package platform

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net"
	"slices"
	"strings"
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
	s := server{ctx, log}
	app := fiber.New(fiber.Config{BodyLimit: maxCallBytes})
	app.Post("/api/log-append", s.append)
	app.Get("/api/log-read", s.read)
	app.Get("/api/log-newest", s.newest)
	app.Post("/control", func(c fiber.Ctx) error {
		var f configlog.Faults
		if err := json.Unmarshal(c.Body(), &f); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
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
}

// The log in memory counts from 1, the store's offsets from 0.
const firstOffset = 1

func topic(c fiber.Ctx) string { return strings.Clone(c.Query("topic")) }

func (s server) append(c fiber.Ctx) error {
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
	offset, err := s.log.AppendAll(s.ctx, topic(c), at, records...)
	switch {
	case errors.Is(err, configlog.ErrOtherEnd):
		return c.Status(fiber.StatusPreconditionFailed).JSON(fiber.Map{"end": offset - firstOffset})
	case err != nil:
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	return c.JSON(fiber.Map{"offset": offset - firstOffset, "end": offset - firstOffset + int64(len(records))})
}

func (s server) read(c fiber.Ctx) error {
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

func (s server) newest(c fiber.Ctx) error {
	page, err := s.log.Read(s.ctx, topic(c), firstOffset, int(^uint(0)>>1), 0)
	if err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	byKey := map[string]item{}
	for _, e := range page.Entries {
		key, value, ok := splitKeyed(e.Data)
		switch {
		case !ok:
		case len(value) == 0:
			delete(byKey, key)
		default:
			byKey[key] = item{key, base64.StdEncoding.EncodeToString(value), e.Offset - firstOffset}
		}
	}
	items := make([]item, 0, len(byKey))
	for _, i := range byKey {
		if i.Key > c.Query("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageLimit
	return c.JSON(fiber.Map{"items": items[:min(len(items), pageLimit)], "has_more": more, "end": page.Next - firstOffset})
}

// splitKeyed splits a record of a keyed topic: the length of the key, the key, the value.
func splitKeyed(data []byte) (key string, value []byte, ok bool) {
	if len(data) == 0 || len(data) < 1+int(data[0]) {
		return "", nil, false
	}
	n := 1 + int(data[0])
	return string(data[1:n]), data[n:], true
}
