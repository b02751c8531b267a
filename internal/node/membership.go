package node

// StartUpstreamDrain takes the host's upstream out of service without waiting for its requests.
func (n *Node) StartUpstreamDrain(instance string) { n.registry.Drain(instance) }
