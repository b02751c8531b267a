package main

import (
	"encoding/json"
	"net/http"

	"celerybank/internal/faultnet"
	"celerybank/internal/peer"
)

// withFaultControl wraps network so that a test can partition this node from others. It serves HTTP on
// addr: POST / with a JSON list of address prefixes blocks traffic to and from these addresses and
// unblocks all others. It is used only if the hidden flag --fault-control gives an address.
func withFaultControl(addr string, network peer.Network) peer.Network {
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
