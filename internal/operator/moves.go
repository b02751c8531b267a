package operator

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/azone"
	"celerybank/internal/node"
)

// ZoneReceipt says what became of an order that a node took.
type ZoneReceipt = azone.Receipt

// OrderZone gives an order to the first node that answers.
func (f *Fleet) OrderZone(zone string, out bool) (ZoneReceipt, error) {
	var receipt ZoneReceipt
	last := errNoAddress
	for _, addr := range f.entry {
		if last = post(addr, "/v1/zone", azone.Request{Zone: zone, Out: out}, &receipt); last == nil {
			return receipt, nil
		}
	}
	return receipt, last
}

// post sends one JSON request to a node and decodes its JSON answer.
func post(addr, path string, body, answer any) error {
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
	if err := fasthttp.DoTimeout(req, resp, askTimeout); err != nil {
		return errors.Wrap(err, addr)
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return errors.Errorf("%s: status %d: %.200s", addr, code, bytes.TrimSpace(resp.Body()))
	}
	return json.Unmarshal(resp.Body(), answer)
}

// Moves merges what the nodes say of the moves: the newest state of each, with the
// judge's reason where one waits.
func (f *Fleet) Moves() ([]node.RolloutReport, error) {
	addrs, err := f.Addresses()
	if err != nil {
		return nil, err
	}
	answers, _ := Ask[[]node.RolloutReport](addrs, "/v1/moves")
	out := []node.RolloutReport{}
	index := map[string]int{}
	for _, moves := range answers {
		for _, m := range moves {
			i, ok := index[m.Key()]
			switch {
			case !ok:
				index[m.Key()] = len(out)
				out = append(out, m)
			case m.Changed > out[i].Changed || (m.Changed == out[i].Changed && len(m.Held)+len(m.Vetoed) > len(out[i].Held)+len(out[i].Vetoed)):
				out[i] = m
			}
		}
	}
	return out, nil
}
