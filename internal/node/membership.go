package node

// StartUpstreamDrain makes the host's upstream get no new requests, without waiting for those that run.
func (n *Node) StartUpstreamDrain(instance string) { n.host.Drain(instance) }
