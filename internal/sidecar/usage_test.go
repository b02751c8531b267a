package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/proxy"
	"celerybank/internal/standin/usageapi"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

// request sends a request of a workspace through the host's node.
func (h *host) request(workspace, path, id string) *proxy.Response {
	in := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(in)
	counterpart.WriteRequest(in, http.MethodGet, requestHost, path, id, 4*time.Second, nil)
	req, path, caller := platform.ReadRequest(in)
	req.Workspace = workspace
	return h.node.dispatch.Dispatch(h.t.Context(), req, path, caller)
}

// reported returns the number of requests of a workspace in the accepted reports.
func reported(api *usageapi.API, workspace string) (n int64) {
	for _, c := range api.Accepted() {
		n += c.Counts[workspace]
	}
	return n
}

// Over real connections: what the upstreams ran is reported for its workspace, whichever node got the request; requests without a
// workspace, and those that an upstream refused, are not. The holder stops gracefully, and the counts of its host are not lost.
func TestUsageIsReported(t *testing.T) {
	api := &usageapi.API{Lease: time.Second}
	server := httptest.NewServer(counterpart.ServeUsage(api, nil))
	defer server.Close()
	m := startReportingMesh(t, strings.TrimPrefix(server.URL, "http://"), "a", "a", "b")
	m.config(1, "/one/")
	for _, h := range m.hosts {
		eventually(t, "the announcement is acknowledged", func() bool { return h.announce(false) })
		eventually(t, "all nodes are members and ready", func() bool { return h.node.aliveMembers() == len(m.hosts) && h.ready() })
	}
	var holder *host
	eventually(t, "a node holds the duty", func() bool {
		for _, h := range m.hosts {
			if h.node.usage.reporter.Status().Holds {
				holder = h
			}
		}
		return holder != nil
	})
	var served int64
	send := func(hosts []*host) {
		for i := range 30 {
			h := hosts[i%len(hosts)]
			h.request("", "/one/x", "none")
			if h.request("shop", "/one/x", "r").Status == http.StatusOK {
				served++
			}
		}
	}
	send(m.hosts)
	eventually(t, "the requests are reported", func() bool { return reported(api, "shop") >= served })
	// The upstream of one host refuses all requests; others run them.
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderRequestID + ": ID\r\n" + platform.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	m.hosts[0].raw.Store(&refusal)
	send(m.hosts)
	holder.stop()
	eventually(t, "the requests before the stop are reported", func() bool { return reported(api, "shop") >= served })
	if got := reported(api, "shop"); got != served || reported(api, "") != 0 {
		t.Errorf("reported %d requests, and %d without a workspace; want %d and 0", got, reported(api, ""), served)
	}
	for _, v := range api.Violations() {
		t.Error(v)
	}
}

// Without the duty in the settings nothing is counted and no service is registered.
func TestNothingIsCountedWithoutTheDuty(t *testing.T) {
	m := startMesh(t, "a")
	if n := m.hosts[0].node; n.usage != nil || n.owner.Usage != nil {
		t.Error("the node counts requests although the settings do not ask for a report")
	}
}
