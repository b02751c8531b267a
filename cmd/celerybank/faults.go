package main

import (
	"encoding/json"
	"net/http"

	"celerybank/internal/faultnet"
	"celerybank/internal/peer"
)

// faultControl lets a test cut this node off from others: POST / with a JSON list of
// address prefixes on addr. It is off unless the hidden flag names an address.
func faultControl(addr string, network peer.Network) peer.Network {
	filter := faultnet.NewFilter(network)
	handler := func(w http.ResponseWriter, r *http.Request) {
		var prefixes []string
		if err := json.NewDecoder(r.Body).Decode(&prefixes); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		filter.Block(prefixes)
	}
	go func() { _ = http.ListenAndServe(addr, http.HandlerFunc(handler)) }()
	return filter
}
