package operator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/httpresponse"
	"celerybank/internal/node"
	"celerybank/internal/zoneorder"
)

// requestTimeout bounds one request to a node.
const requestTimeout = 2 * time.Second

// maxConcurrentRequests bounds the requests that GetAll has in flight.
const maxConcurrentRequests = 32

// errNoAddress reports that no admin address was given.
var errNoAddress = errors.New("no admin address of a node given; set --node")

// NodeClient sends requests of operators to the admin addresses of nodes.
type NodeClient struct{ addrs []string }

// NewNodeClient returns a client of the mesh whose nodes have the admin addresses addrs (IP:port).
// One address that responds is enough to find the other nodes.
func NewNodeClient(addrs []string) *NodeClient { return &NodeClient{addrs} }

// Get requests path from addr (IP:port) and decodes the JSON response into response. A status other
// than 200 is an error. Errors contain the address.
func Get(addr, path string, response any) error {
	code, body, err := httpresponse.DefaultClient.GetTimeout(nil, "http://"+addr+path, requestTimeout)
	if err != nil {
		return errors.Wrap(err, addr)
	}
	if code != fasthttp.StatusOK {
		return errors.Errorf("%s: status %d", addr, code)
	}
	if err := json.Unmarshal(body, response); err != nil {
		return errors.Wrap(err, addr)
	}
	return nil
}

// Addresses returns the sorted admin addresses of the live members that the first responding node
// knows. If no node responds, the error is that of the last request.
func (c *NodeClient) Addresses() ([]string, error) {
	lastErr := errNoAddress
	for _, addr := range c.addrs {
		var s node.Status
		if lastErr = Get(addr, "/v1/status", &s); lastErr != nil {
			continue
		}
		var out []string
		for _, m := range s.Members {
			out = append(out, m.Admin)
		}
		slices.Sort(out)
		return slices.Compact(out), nil
	}
	return nil, errors.Wrap(lastErr, "no node responded")
}

// GetAll requests path from all addrs concurrently and decodes the JSON responses. failed has the
// addresses whose request failed.
func GetAll[T any](addrs []string, path string) (responses []T, failed []string) {
	type result struct {
		addr     string
		response T
		err      error
	}
	p := pool.NewWithResults[result]().WithMaxGoroutines(maxConcurrentRequests)
	for _, addr := range addrs {
		p.Go(func() result {
			r := result{addr: addr}
			r.err = Get(addr, path, &r.response)
			return r
		})
	}
	for _, r := range p.Wait() {
		if r.err != nil {
			failed = append(failed, r.addr)
			continue
		}
		responses = append(responses, r.response)
	}
	return responses, failed
}

// Timeline returns the events of all nodes in the order of their stamps, so that a cause precedes
// its effects. failed has the addresses of the nodes whose request failed.
func (c *NodeClient) Timeline() (merged []events.Event, failed []string, err error) {
	addrs, err := c.Addresses()
	if err != nil {
		return nil, nil, err
	}
	timelines, failed := GetAll[[]events.Event](addrs, "/v1/timeline")
	for _, t := range timelines {
		merged = append(merged, t...)
	}
	slices.SortFunc(merged, func(a, b events.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Seq, b.Seq))
	})
	return merged, failed, nil
}

// ZoneReceipt is the result of a zone order that a node accepted.
type ZoneReceipt = zoneorder.Receipt

// OrderZone takes a zone out or in by an order to the first node that accepts it. If none does, the
// error is that of the last request.
func (c *NodeClient) OrderZone(zone string, out bool) (ZoneReceipt, error) {
	var receipt ZoneReceipt
	lastErr := errNoAddress
	for _, addr := range c.addrs {
		if lastErr = post(addr, "/v1/zone", zoneorder.Request{Zone: zone, Out: out}, &receipt); lastErr == nil {
			return receipt, nil
		}
	}
	return receipt, lastErr
}

// post sends body as JSON to addr and decodes the JSON response into response. A status other than
// 200 is an error.
func post(addr, path string, body, response any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + path)
	req.SetBodyRaw(text)
	if err := httpresponse.DefaultClient.DoTimeout(req, resp, requestTimeout); err != nil {
		return errors.Wrap(err, addr)
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return errors.Errorf("%s: status %d: %.200s", addr, code, bytes.TrimSpace(resp.Body()))
	}
	return json.Unmarshal(resp.Body(), response)
}

// Rollouts returns the newest state of each rollout that a node reports. Of equally new reports it
// returns the one with the longer reasons, because only the service's coordinator knows why a
// rollout does not advance. Nodes whose request failed are left out.
func (c *NodeClient) Rollouts() ([]node.RolloutReport, error) {
	addrs, err := c.Addresses()
	if err != nil {
		return nil, err
	}
	responses, _ := GetAll[[]node.RolloutReport](addrs, "/v1/moves")
	out := []node.RolloutReport{}
	index := map[string]int{}
	for _, rollouts := range responses {
		for _, r := range rollouts {
			i, ok := index[r.Key()]
			switch {
			case !ok:
				index[r.Key()] = len(out)
				out = append(out, r)
			case r.Changed > out[i].Changed || (r.Changed == out[i].Changed && len(r.Held)+len(r.Vetoed) > len(out[i].Held)+len(out[i].Vetoed)):
				out[i] = r
			}
		}
	}
	return out, nil
}
