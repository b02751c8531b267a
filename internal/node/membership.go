package node

// Leave makes the host's upstream get no new requests, without waiting for those that run.
func (n *Node) Leave(instance string) { n.host.Drain(instance) }
