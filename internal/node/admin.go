package node

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/upstream"
)

// Status is a node's own status, as the admin API reports it to operators.
type Status struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Version int64  `json:"version"`
	// Chain is the hash over all records up to Version; nodes at the same version must have the same hash.
	Chain uint64 `json:"chain,string"`
	// ConfigVersion is the version of the last record that took effect.
	ConfigVersion int64 `json:"config_version"`
	// Since is when ConfigVersion took effect on this node.
	Since time.Time `json:"since"`
	// LogReader is set if the node reads the log for its zone.
	LogReader  bool            `json:"log_reader"`
	Ready      bool            `json:"ready"`
	SourceDown bool            `json:"source_down"`
	Members    []gossip.Member `json:"members"`
}

// serveAdmin serves the admin API to the host's upstream, operators and metric scrapers on l until ctx ends.
func serveAdmin(ctx context.Context, n *Node, l net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: 1 << 20})
	app.Post("/v1/announce", n.handleAnnounce)
	app.Post("/v1/leave", n.handleLeave)
	app.Get("/v1/status", func(c fiber.Ctx) error { return c.JSON(n.Status()) })
	app.Get("/v1/state", func(c fiber.Ctx) error { return c.JSON(n.store.State()) })
	app.Get("/v1/moves", func(c fiber.Ctx) error { return c.JSON(n.Rollouts()) })
	app.Post("/v1/zone", n.handleZone)
	app.Get("/v1/timeline", n.handleTimeline)
	app.Get("/metrics", n.handleMetrics)
	stop := context.AfterFunc(ctx, func() { _ = app.Shutdown() })
	defer stop()
	return app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	st := n.store.State()
	s := Status{Name: n.cfg.Name, Zone: n.cfg.Zone, Version: st.Version, Chain: st.Chain, ConfigVersion: st.ConfigVersion,
		Since: n.store.LastApplied(), LogReader: n.distributor.IsLogReader(), SourceDown: n.distributor.LogDown(), Members: n.members.Alive()}
	select {
	case <-n.distributor.Ready():
		s.Ready = true
	default:
	}
	return s
}

func (n *Node) handleAnnounce(c fiber.Ctx) error {
	var a upstream.Announcement
	err := json.Unmarshal(c.Body(), &a)
	if err == nil {
		err = n.registry.Announce(a)
	}
	if err != nil {
		n.events.Emit(events.RequestMalformed, events.Fields{"caller": c.IP(), "reason": "announce: " + err.Error()})
		return c.Status(fiber.StatusBadRequest).SendString(err.Error() + "\n")
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (n *Node) handleLeave(c fiber.Ctx) error {
	var a upstream.Announcement
	if err := json.Unmarshal(c.Body(), &a); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error() + "\n")
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Drain.D())
	defer cancel()
	if n.DrainUpstream(ctx, a.Instance) > 0 {
		return c.SendStatus(fiber.StatusAccepted)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (n *Node) handleTimeline(c fiber.Ctx) error {
	since, err := strconv.ParseUint(c.Query("since", "0"), 10, 64)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString("since: not a number\n")
	}
	return c.JSON(n.events.Since(since))
}

func (n *Node) handleMetrics(c fiber.Ctx) error {
	var b bytes.Buffer
	metrics.WritePrometheus(&b, true)
	n.traffic.set.WritePrometheus(&b)
	n.calls.set.WritePrometheus(&b)
	n.claims.claimant.Metrics().WritePrometheus(&b)
	n.members.WriteMetrics(&b)
	return c.Send(b.Bytes())
}
